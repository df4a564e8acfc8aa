#pragma once

#include <string>
#include <vector>

namespace monsoondockctl {

/// One line of a plot: a value for each second.
struct plot_series
{
    std::string name_;
    std::vector<double> values_;
};


/// Returns a plot of lines over seconds as an SVG element: axes, the largest
/// value, and a key with each line's name and sum. Series of unlike length end
/// where their values end.
std::string
draw_plot(const std::string& title, const std::vector<plot_series>& series);

} // namespace monsoondockctl

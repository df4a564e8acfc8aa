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


/// Returns a line plot over seconds as an SVG element: axes, the largest value
/// and a legend with the name and sum of each series. Shorter series end at
/// their last value.
std::string
draw_plot(const std::string& title, const std::vector<plot_series>& series);

} // namespace monsoondockctl

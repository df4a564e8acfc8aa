#include "svg_plot.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>

namespace monsoondockctl {

namespace {

// Sizes in SVG units.
constexpr int width = 760;
constexpr int height = 220;
constexpr int left = 50;
constexpr int top = 30;
constexpr int plot_width = 480;
constexpr int plot_height = 150;
constexpr int legend_left = left + plot_width + 15;
constexpr int legend_row_height = 16;

// Palette that is distinguishable with most red-green colour blindness.
constexpr std::array<const char*, 8> line_colours{
    "#0072b2",
    "#d55e00",
    "#009e73",
    "#cc79a7",
    "#e69f00",
    "#56b4e9",
    "#000000",
    "#999999"};


std::string format_number(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return text.data();
}


std::string escape_xml(const std::string& text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '&':
            result += "&amp;";
            break;
        default:
            result += c;
        }
    }
    return result;
}


std::string draw_text(double x, double y, const std::string& text)
{
    return "<text x=\"" + format_number(x) + "\" y=\"" + format_number(y) +
           "\">" + escape_xml(text) + "</text>\n";
}


double largest_value(const std::vector<plot_series>& series)
{
    double max_value = 1;
    for (const plot_series& s : series)
        for (const double value : s.values_)
            max_value = std::max(max_value, value);
    return max_value;
}


std::size_t longest_series(const std::vector<plot_series>& series)
{
    std::size_t max_length = 2;
    for (const plot_series& s : series)
        max_length = std::max(max_length, s.values_.size());
    return max_length;
}


std::string draw_line(
    const plot_series& s,
    const char* colour,
    std::size_t seconds,
    double max_value)
{
    std::string points;
    for (std::size_t i = 0; i < s.values_.size(); ++i) {
        const double x =
            left + double(plot_width) * double(i) / double(seconds - 1);
        const double y = top + plot_height * (1 - s.values_[i] / max_value);
        points += format_number(x) + "," + format_number(y) + " ";
    }
    return "<polyline fill=\"none\" stroke=\"" + std::string(colour) +
           "\" points=\"" + points + "\"/>\n";
}


std::string draw_axes(std::size_t seconds, double max_value)
{
    const int bottom = top + plot_height;
    return "<path fill=\"none\" stroke=\"#444\" d=\"M" + format_number(left) +
           " " + format_number(top) + " V" + format_number(bottom) + " H" +
           format_number(left + plot_width) + "\"/>\n" +
           draw_text(5, top + 4, format_number(max_value)) +
           draw_text(5, bottom, "0") + draw_text(left, bottom + 16, "0 s") +
           draw_text(
               left + plot_width - 30,
               bottom + 16,
               format_number(double(seconds - 1)) + " s");
}

} // namespace

std::string
draw_plot(const std::string& title, const std::vector<plot_series>& series)
{
    const double max_value = largest_value(series);
    const std::size_t seconds = longest_series(series);
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                      format_number(width) + "\" height=\"" +
                      format_number(height) +
                      "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    svg += draw_text(left, 18, title);
    svg += draw_axes(seconds, max_value);
    for (std::size_t i = 0; i < series.size(); ++i) {
        const char* colour = line_colours.at(i % line_colours.size());
        const auto& values = series[i].values_;
        svg += draw_line(series[i], colour, seconds, max_value);
        const double y = top + 8 + double(legend_row_height) * double(i);
        svg += "<rect x=\"" + format_number(legend_left) + "\" y=\"" +
               format_number(y - 8) + "\" width=\"9\" height=\"9\" fill=\"" +
               colour + "\"/>\n";
        svg += draw_text(
            legend_left + 14,
            y,
            series[i].name_ + ": " +
                format_number(
                    std::accumulate(values.begin(), values.end(), 0.0)));
    }
    return svg + "</svg>\n";
}

} // namespace monsoondockctl

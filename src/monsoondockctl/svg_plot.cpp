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
constexpr int key_left = left + plot_width + 15;
constexpr int key_step = 16;

// Distinct also for most readers who do not tell red from green.
constexpr std::array<const char*, 8> colours{
    "#0072b2",
    "#d55e00",
    "#009e73",
    "#cc79a7",
    "#e69f00",
    "#56b4e9",
    "#000000",
    "#999999"};


std::string number(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return text.data();
}


std::string escaped(const std::string& text)
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


std::string text_at(double x, double y, const std::string& text)
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\">" +
           escaped(text) + "</text>\n";
}


double largest(const std::vector<plot_series>& series)
{
    double most = 1;
    for (const plot_series& s : series)
        for (const double value : s.values_)
            most = std::max(most, value);
    return most;
}


std::size_t longest(const std::vector<plot_series>& series)
{
    std::size_t most = 2;
    for (const plot_series& s : series)
        most = std::max(most, s.values_.size());
    return most;
}


std::string draw_line(
    const plot_series& s, const char* colour, std::size_t seconds, double most)
{
    std::string points;
    for (std::size_t i = 0; i < s.values_.size(); ++i) {
        const double x =
            left + double(plot_width) * double(i) / double(seconds - 1);
        const double y = top + plot_height * (1 - s.values_[i] / most);
        points += number(x) + "," + number(y) + " ";
    }
    return "<polyline fill=\"none\" stroke=\"" + std::string(colour) +
           "\" points=\"" + points + "\"/>\n";
}


std::string draw_axes(std::size_t seconds, double most)
{
    const int bottom = top + plot_height;
    return "<path fill=\"none\" stroke=\"#444\" d=\"M" + number(left) + " " +
           number(top) + " V" + number(bottom) + " H" +
           number(left + plot_width) + "\"/>\n" +
           text_at(5, top + 4, number(most)) + text_at(5, bottom, "0") +
           text_at(left, bottom + 16, "0 s") +
           text_at(
               left + plot_width - 30,
               bottom + 16,
               number(double(seconds - 1)) + " s");
}

} // namespace

std::string
draw_plot(const std::string& title, const std::vector<plot_series>& series)
{
    const double most = largest(series);
    const std::size_t seconds = longest(series);
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                      number(width) + "\" height=\"" + number(height) +
                      "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    svg += text_at(left, 18, title);
    svg += draw_axes(seconds, most);
    for (std::size_t i = 0; i < series.size(); ++i) {
        const char* colour = colours.at(i % colours.size());
        const auto& values = series[i].values_;
        svg += draw_line(series[i], colour, seconds, most);
        const double y = top + 8 + double(key_step) * double(i);
        svg += "<rect x=\"" + number(key_left) + "\" y=\"" + number(y - 8) +
               "\" width=\"9\" height=\"9\" fill=\"" + colour + "\"/>\n";
        svg += text_at(
            key_left + 14,
            y,
            series[i].name_ + ": " +
                number(std::accumulate(values.begin(), values.end(), 0.0)));
    }
    return svg + "</svg>\n";
}

} // namespace monsoondockctl

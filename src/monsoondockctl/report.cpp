#include "command.hpp"
#include "log_files.hpp"
#include "log_summary.hpp"
#include "svg_plot.hpp"

#include <iostream>
#include <set>

namespace monsoondockctl {

namespace {

using named_counts = std::map<std::string, std::uint64_t>;


// Returns one series for each name that occurs in any second, sorted by name.
template <class Member>
std::vector<plot_series>
series_by_name(const log_summary& summary, Member member)
{
    std::set<std::string> names;
    for (const second_counts& s : summary.seconds_)
        for (const auto& [name, count] : s.*member)
            names.insert(name);
    std::vector<plot_series> series;
    for (const std::string& name : names) {
        plot_series line{name, {}};
        for (const second_counts& s : summary.seconds_) {
            const named_counts& counts = s.*member;
            const auto found = counts.find(name);
            line.values_.push_back(
                found == counts.end() ? 0 : double(found->second));
        }
        series.push_back(std::move(line));
    }
    return series;
}


std::vector<plot_series> answer_series(const log_summary& summary)
{
    std::vector<plot_series> series{{"in time", {}}, {"late", {}}};
    for (const second_counts& s : summary.seconds_) {
        series[0].values_.push_back(double(s.in_time_));
        series[1].values_.push_back(double(s.late_));
    }
    return series;
}


void print_page(const log_summary& summary)
{
    std::cout << "<!DOCTYPE html>\n<html><head><title>monsoondock report"
                 "</title></head><body>\n"
              << "<p>" << summary.seconds_.size()
              << " seconds; log lines omitted: " << summary.omitted_lines_
              << "</p>\n"
              << draw_plot("answers per second", answer_series(summary))
              << draw_plot(
                     "unsuccessful requests per second",
                     series_by_name(summary, &second_counts::failures_))
              << draw_plot(
                     "groups by state (totals in group-seconds)",
                     series_by_name(summary, &second_counts::groups_))
              << "</body></html>\n";
}

} // namespace

exit_code report(const command_input& input)
{
    const auto lines = read_logs(input.arguments_);
    if (!lines)
        return exit_code::bad_input;
    const log_summary summary = summarize(*lines);
    print_page(summary);
    return summary.seconds_.empty() ? exit_code::failed : exit_code::ok;
}

} // namespace monsoondockctl

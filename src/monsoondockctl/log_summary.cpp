#include "log_summary.hpp"

#include "log_time.hpp"

#include <algorithm>

namespace monsoondockctl {

namespace {

using std::chrono::floor;
using std::chrono::seconds;

constexpr seconds max_report_span{86400};


std::string field(const log_line& line, const std::string& name)
{
    const auto found = line.fields_.find(name);
    return found == line.fields_.end() ? std::string() : found->second;
}


std::uint64_t omitted_line_count(const log_line& line)
{
    return std::strtoull(field(line, "lines").c_str(), nullptr, 10);
}


void count_request(second_counts& second, const log_line& line)
{
    const std::string outcome = field(line, "outcome");
    const bool success =
        outcome == "answered" && field(line, "status").starts_with("2");
    if (success && field(line, "in_time") == "yes")
        ++second.in_time_;
    else if (success)
        ++second.late_;
    else if (outcome == "answered")
        ++second.failures_["upstream_" + field(line, "status")];
    else
        ++second.failures_[outcome];
}


// Returns the state of a group after an event: empty when the group has ended,
// nothing when the event does not change it.
std::optional<std::string> state_after(const std::string& event)
{
    static const std::map<std::string, std::string> states{
        {"group_forming", "forming"},
        {"group_serving", "serving"},
        {"group_closing", "closing"},
        {"group_closed", ""},
        {"group_dissolving", "closing"},
        {"group_dissolved", ""}};
    const auto found = states.find(event);
    if (found == states.end())
        return std::nullopt;
    return found->second;
}


/// State of each group after the lines applied so far.
class group_states
{
public:
    void apply(const log_line& line)
    {
        const auto state = state_after(field(line, "event"));
        const std::string group = field(line, "group");
        if (!state || group.empty())
            return;
        if (state->empty())
            states_.erase(group);
        else
            states_[group] = *state;
    }

    std::map<std::string, std::uint64_t> counts() const
    {
        std::map<std::string, std::uint64_t> result;
        for (const auto& [group, state] : states_)
            ++result[state];
        return result;
    }

private:
    std::map<std::string, std::string> states_;
};


struct timed_line
{
    log_time time_;
    const log_line* line_ = nullptr;
};


std::vector<timed_line>
sort_by_time(const std::vector<log_line>& lines, log_summary& summary)
{
    std::vector<timed_line> result;
    for (const log_line& line : lines) {
        const std::string event = field(line, "event");
        if (event == "log_suppressed" || event == "log_dropped")
            summary.omitted_lines_ += omitted_line_count(line);
        if (const auto time = parse_log_time(line.time_))
            result.push_back({*time, &line});
    }
    std::stable_sort(
        result.begin(), result.end(), [](const auto& a, const auto& b) {
            return a.time_ < b.time_;
        });
    return result;
}

} // namespace

log_summary summarize(const std::vector<log_line>& lines)
{
    log_summary summary;
    const auto sorted = sort_by_time(lines, summary);
    if (sorted.empty())
        return summary;
    summary.begin_ = floor<seconds>(sorted.front().time_);
    group_states groups;
    for (const timed_line& t : sorted) {
        const auto at = floor<seconds>(t.time_) - summary.begin_;
        if (at >= max_report_span) {
            ++summary.omitted_lines_;
            continue;
        }
        // Seconds without log lines keep the previous group counts.
        while (summary.seconds_.size() <=
               static_cast<std::size_t>(at.count())) {
            summary.seconds_.emplace_back();
            summary.seconds_.back().groups_ = groups.counts();
        }
        second_counts& second = summary.seconds_.back();
        const std::string event = field(*t.line_, "event");
        if (event == "request")
            count_request(second, *t.line_);
        else if (event == "refused")
            ++second.failures_[field(*t.line_, "reason")];
        groups.apply(*t.line_);
        if (state_after(event))
            second.groups_ = groups.counts();
    }
    return summary;
}

} // namespace monsoondockctl

#include "request_timeline.hpp"

#include "log_time.hpp"

#include <algorithm>
#include <set>

namespace monsoondockctl {

namespace {

// Window before and after each event of a request in which other events may
// explain it: outages and repairs take seconds.
constexpr std::chrono::seconds related_event_window{60};


std::string parse_value(const std::string& text, std::size_t& at)
{
    std::string value;
    if (at >= text.size() || text[at] != '"') {
        while (at < text.size() && text[at] != ' ')
            value += text[at++];
        return value;
    }
    for (++at; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\\' && at + 1 < text.size())
            ++at;
        value += text[at];
    }
    ++at;
    return value;
}


std::string field(const log_line& line, const std::string& name)
{
    const auto found = line.fields_.find(name);
    return found == line.fields_.end() ? std::string() : found->second;
}


bool names_any_host(const log_line& line, const std::set<std::string>& hosts)
{
    return hosts.contains(field(line, "host")) ||
           hosts.contains(field(line, "head"));
}


// Returns whether a line reports a change of a daemon, its settings, the store
// or the leader, which can affect any request.
bool is_dependency_event(const log_line& line)
{
    static const std::set<std::string> events{
        "leadership_lost",
        "leadership_gained",
        "leadership_resigned",
        "process_paused",
        "settings_in_force",
        "started",
        "stopping",
        "store_lost",
        "store_recovered",
        "upstreams_cut",
        "upstreams_restored"};
    return events.contains(field(line, "event"));
}


bool is_within_window(const log_line& line, const std::vector<log_time>& times)
{
    const auto at = parse_log_time(line.time_);
    return at &&
           std::any_of(times.begin(), times.end(), [&](const log_time& time) {
               return std::chrono::abs(*at - time) <= related_event_window;
           });
}


std::vector<std::string> find_missing(const std::vector<log_line>& lines)
{
    std::vector<std::string> missing;
    if (lines.empty()) {
        missing.emplace_back(
            "no log line has this request ID; pass the logs of all daemons "
            "and check for log_suppressed and log_dropped lines");
        return missing;
    }
    const bool ended =
        std::any_of(lines.begin(), lines.end(), [](const auto& line) {
            const std::string event = field(line, "event");
            return event == "request" || event == "refused";
        });
    if (!ended)
        missing.emplace_back(
            "no final event; the daemon was still serving the request or "
            "stopped before it ended: check for the daemon's next started "
            "event");
    return missing;
}

} // namespace

log_line parse_log_line(const std::string& text, const std::string& source)
{
    log_line line;
    line.source_ = source;
    // log_suppressed and log_dropped lines have no time.
    std::size_t at = std::min(text.find("time="), text.find("event="));
    if (at == std::string::npos)
        return line;
    line.text_ = text.substr(at);
    while (at < text.size()) {
        const std::size_t equals = text.find('=', at);
        if (equals == std::string::npos)
            break;
        const std::string name = text.substr(at, equals - at);
        at = equals + 1;
        line.fields_[name] = parse_value(text, at);
        while (at < text.size() && text[at] == ' ')
            ++at;
    }
    line.time_ = field(line, "time");
    return line;
}


void read_log(
    std::istream& in, const std::string& source, std::vector<log_line>& all)
{
    std::string text;
    while (std::getline(in, text)) {
        log_line line = parse_log_line(text, source);
        if (!line.fields_.empty())
            all.push_back(std::move(line));
    }
}


request_timeline
build_timeline(std::vector<log_line> all, const std::string& request_id)
{
    std::stable_sort(all.begin(), all.end(), [](auto& a, auto& b) {
        return a.time_ < b.time_;
    });
    request_timeline timeline;
    std::set<std::string> hosts;
    std::vector<log_time> times;
    for (const log_line& line : all) {
        if (field(line, "request") != request_id)
            continue;
        timeline.lines_.push_back(line);
        hosts.insert(field(line, "host"));
        if (const auto time = parse_log_time(line.time_))
            times.push_back(*time);
    }
    hosts.erase("");
    for (const log_line& line : all) {
        const bool related =
            names_any_host(line, hosts) || is_dependency_event(line);
        if (field(line, "request").empty() && related &&
            is_within_window(line, times))
            timeline.related_.push_back(line);
    }
    timeline.missing_ = find_missing(timeline.lines_);
    return timeline;
}

} // namespace monsoondockctl

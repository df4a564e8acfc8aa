#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace monsoondockctl {

/// One line of a daemon's log.
struct log_line
{
    /// Time as the daemon wrote it; empty when the line has none.
    std::string time_;
    /// Name of the log file.
    std::string source_;
    std::map<std::string, std::string> fields_;
    std::string text_;
};


/// Parses a line of key=value pairs; quoted values may contain spaces. Text
/// before "time=" or "event=" is ignored. Returns a line without fields when
/// there is neither.
log_line parse_log_line(const std::string& text, const std::string& source);


/// Log events of one request, with related events of other components.
struct request_timeline
{
    /// Lines with the ID of the request, the oldest first.
    std::vector<log_line> lines_;
    /// Lines within a minute of those, the oldest first: about the hosts that
    /// the request was sent to, or about the daemons and the store, leader and
    /// settings that they depend on.
    std::vector<log_line> related_;
    /// Descriptions of expected events that the logs do not contain.
    std::vector<std::string> missing_;
};


/// Parses the lines of a log and appends them to all.
void read_log(
    std::istream& in, const std::string& source, std::vector<log_line>& all);


/// Collects the events of a request from the log lines of all daemons.
request_timeline
build_timeline(std::vector<log_line> all, const std::string& request_id);

} // namespace monsoondockctl

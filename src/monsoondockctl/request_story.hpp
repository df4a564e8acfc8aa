#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace monsoondockctl {

/// One line of a daemon's log.
struct log_line
{
    /// Time of day as the daemon wrote it.
    std::string time_;
    /// File that the line is from.
    std::string source_;
    std::map<std::string, std::string> fields_;
    std::string text_;
};


/// Reads a line of key=value pairs; quoted values may hold spaces. Anything
/// before "time=" or "event=" is ignored. Returns a line without fields when
/// there is neither.
log_line parse_log_line(const std::string& text, const std::string& source);


/// What the logs tell of one request.
struct request_story
{
    /// Lines that name the request, the oldest first.
    std::vector<log_line> lines_;
    /// Lines of that time about the hosts that it was sent to, and about what
    /// its daemons depend on: store, leader, settings.
    std::vector<log_line> around_;
    /// What a complete story would have beside.
    std::vector<std::string> missing_;
};


/// Appends the lines of a log.
void read_log(
    std::istream& in, const std::string& source, std::vector<log_line>& all);


/// Puts the story of a request together.
request_story
tell_story(std::vector<log_line> all, const std::string& request_id);

} // namespace monsoondockctl

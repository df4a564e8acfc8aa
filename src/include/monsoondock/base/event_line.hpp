#pragma once

#include <chrono>
#include <sstream>
#include <string>
#include <string_view>

namespace monsoondock::base {

/// Severity of a log line.
enum class severity
{
    info,
    warning,
    error
};

/// Builds one log line of key=value pairs and writes it on destruction. The
/// line goes to the installed event_writer, preceded by timestamp and level, or
/// to glog when no writer is installed. Empty values and values with
/// whitespace, quotes or '=' are quoted; line breaks become spaces.
class event_line
{
public:
    /// Starts the line with "event=<name>".
    explicit event_line(std::string_view name, severity s = severity::info);

    event_line(const event_line&) = delete;
    event_line& operator=(const event_line&) = delete;

    /// Writes the line.
    ~event_line();


    /// Appends key=value.
    event_line& field(std::string_view key, std::string_view value);


    /// Appends key=value for a number or any other streamable type.
    template <class Value>
    event_line& field(std::string_view key, const Value& value)
    {
        std::ostringstream text;
        text << value;
        return field(key, std::string_view(text.str()));
    }


    /// Appends key_ms=value with the duration in milliseconds.
    event_line& field(std::string_view key, std::chrono::nanoseconds value);

private:
    std::string name_;
    std::ostringstream line_;
    severity severity_;
};

} // namespace monsoondock::base

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

/// Builds one log line of key=value pairs and writes it when it goes out of
/// scope: to the installed event_writer, with its time of day and level in
/// front, or else to glog. Values with spaces, quotes or line breaks are
/// quoted.
class event_line
{
public:
    /// Starts a line "event=name".
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


    /// Appends key_ms=value with the length of time in milliseconds.
    event_line& field(std::string_view key, std::chrono::nanoseconds value);

private:
    std::string name_;
    std::ostringstream line_;
    severity severity_;
};

} // namespace monsoondock::base

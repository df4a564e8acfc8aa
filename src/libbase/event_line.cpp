#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/event_writer.hpp>

#include <glog/logging.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <iomanip>

namespace monsoondock::base {

namespace {

bool needs_no_quotes(std::string_view value)
{
    if (value.empty())
        return false;
    return value.find_first_of(" \t\r\n\"=") == std::string_view::npos;
}


std::string replace_line_breaks(std::string_view value)
{
    std::string text(value);
    for (char& c : text) {
        if (c == '\n' || c == '\r')
            c = ' ';
    }
    return text;
}

// Returns the UTC time in ISO 8601 format with milliseconds.
std::string utc_timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        now.time_since_epoch())
                        .count() %
                    1000;
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(
        text.data() + length,
        text.size() - length,
        ".%03dZ",
        static_cast<int>(ms));
    return text.data();
}


const char* level_name(severity s)
{
    switch (s) {
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "unknown";
}

} // namespace

event_line::event_line(std::string_view name, severity s)
    : name_(name), severity_(s)
{
    line_ << "event=" << name;
}


event_line::~event_line()
{
    if (event_writer* writer = installed_event_writer()) {
        writer->write(
            name_,
            "time=" + utc_timestamp() + " level=" + level_name(severity_) +
                " " + line_.str(),
            boot_clock::now());
        return;
    }
    switch (severity_) {
    case severity::info:
        LOG(INFO) << line_.str();
        break;
    case severity::warning:
        LOG(WARNING) << line_.str();
        break;
    case severity::error:
        LOG(ERROR) << line_.str();
        break;
    }
}


event_line& event_line::field(std::string_view key, std::string_view value)
{
    line_ << ' ' << key << '=';
    if (needs_no_quotes(value))
        line_ << value;
    else
        line_ << std::quoted(replace_line_breaks(value));
    return *this;
}


event_line&
event_line::field(std::string_view key, std::chrono::nanoseconds value)
{
    const std::chrono::duration<double, std::milli> ms = value;
    line_ << ' ' << key << "_ms=" << std::fixed << std::setprecision(3)
          << ms.count();
    return *this;
}

} // namespace monsoondock::base

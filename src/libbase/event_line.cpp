#include <monsoondock/base/event_line.hpp>

#include <glog/logging.h>

#include <iomanip>

namespace monsoondock::base {

namespace {

bool is_plain(std::string_view value)
{
    if (value.empty())
        return false;
    return value.find_first_of(" \t\r\n\"=") == std::string_view::npos;
}


std::string one_line(std::string_view value)
{
    std::string text(value);
    for (char& c : text) {
        if (c == '\n' || c == '\r')
            c = ' ';
    }
    return text;
}

} // namespace

event_line::event_line(std::string_view name, severity s) : severity_(s)
{
    line_ << "event=" << name;
}


event_line::~event_line()
{
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
    if (is_plain(value))
        line_ << value;
    else
        line_ << std::quoted(one_line(value));
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

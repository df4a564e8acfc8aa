#pragma once

#include <string>

namespace monsoondock::load {

/// One message of a completion request.
struct chat_message
{
    std::string role_;
    std::string content_;

    friend bool operator==(const chat_message&, const chat_message&) = default;
};

} // namespace monsoondock::load

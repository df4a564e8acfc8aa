#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/base/result.hpp>

#include <string>
#include <string_view>

namespace monsoondock::traffic::pvt {

/// The parts of a completion request that routing needs.
struct chat_request
{
    base::deployment_id model_;
    bool stream_ = false;
    /// Start of the first message, by which groups with a cached prefix are
    /// found; empty when its content is not a text.
    std::string prefix_;
};


/// Reads the body of a completion request. Problem code invalid_argument says
/// which member is missing or of a wrong type.
base::result<chat_request> parse_chat_request(std::string_view body);

} // namespace monsoondock::traffic::pvt

#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/base/result.hpp>
#include <monsoondock/crashes/prompt_part.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::traffic::pvt {

/// The fields of a completion request that routing needs.
struct chat_request
{
    base::deployment_id model_;
    bool stream_ = false;
    /// Start of the first message, used to prefer groups that have the prefix
    /// cached; empty when the content is not a string.
    std::string prefix_;
    /// Hashes of all messages but the last one, which other requests may share.
    std::vector<crashes::prompt_part> parts_;
};


/// Parses the body of a completion request. Fails with code invalid_argument
/// and a message that names the missing or mistyped field.
base::result<chat_request> parse_chat_request(std::string_view body);

} // namespace monsoondock::traffic::pvt

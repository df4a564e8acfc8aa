#pragma once

#include <monsoondock/standin/exchange.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::engine_standin {

/// Parsed body and headers of a completion request.
struct prompt
{
    /// Content of the last message.
    std::string text_;
    /// Keys for the prefix cache, longest first: the contents of all messages
    /// before the last one, then, when there are more than two messages, the
    /// content of the first one. The only key of a single message is the first
    /// single_message_prefix_bytes bytes of its content.
    std::vector<std::string> prefixes_;
    std::size_t max_tokens_ = 0;
    /// Number of tokens to skip because the caller already has them.
    std::size_t resume_from_ = 0;
    bool stream_ = false;
};

/// Length of the cached prefix of a prompt with a single message.
inline constexpr std::size_t single_message_prefix_bytes = 64;


/// Parses the prompt of a request; returns nullopt when it is malformed.
std::optional<prompt> parse_prompt(const standin::exchange& e);

} // namespace monsoondock::engine_standin

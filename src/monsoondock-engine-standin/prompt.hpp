#pragma once

#include <monsoondock/standin/exchange.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::engine_standin {

/// What a caller asks of the model.
struct prompt
{
    /// Content of the last message.
    std::string text_;
    /// What the prefix cache compares, longest first: the contents of the
    /// messages before the last one, then the content of the first message;
    /// for a single message its first PREFIX_BYTES.
    std::vector<std::string> prefixes_;
    std::size_t max_tokens_ = 0;
    /// Tokens that the caller has already.
    std::size_t resume_from_ = 0;
    bool stream_ = false;
};

/// Length of the prefix of a prompt of one message.
inline constexpr std::size_t PREFIX_BYTES = 64;


/// Reads the prompt of a request; nothing when it is malformed.
std::optional<prompt> parse_prompt(const standin::exchange& e);

} // namespace monsoondock::engine_standin

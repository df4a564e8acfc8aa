#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace monsoondock::standin {

/// Number of generated tokens when the request does not set max_tokens.
inline constexpr std::size_t DEFAULT_MAX_TOKENS = 16;


/// Returns the token at position of the completion generated for prompt:
/// "w<position>-<CRC-32 of "<prompt>#<position>"> ", so tests can predict it.
std::string answer_token(std::string_view prompt, std::size_t position);


/// Returns the complete text of max_tokens tokens generated for prompt.
std::string answer_text(std::string_view prompt, std::size_t max_tokens);

} // namespace monsoondock::standin

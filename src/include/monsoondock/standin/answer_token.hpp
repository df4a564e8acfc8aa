#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace monsoondock::standin {

/// Number of tokens of an answer whose request names none.
inline constexpr std::size_t DEFAULT_MAX_TOKENS = 16;


/// Returns token number position of the answer to prompt:
/// "w<position>-<CRC-32 of "<prompt>#<position>"> ".
std::string answer_token(std::string_view prompt, std::size_t position);


/// Returns the whole answer of max_tokens tokens.
std::string answer_text(std::string_view prompt, std::size_t max_tokens);

} // namespace monsoondock::standin

#pragma once

#include <string>
#include <string_view>

namespace monsoondock::engine_standin {

/// Returns the chunk (chat.completion.chunk) that carries one token.
std::string make_token_chunk(std::string_view id, std::string_view token);


/// Returns the last chunk of a complete stream, with finish_reason "stop".
std::string make_stop_chunk(std::string_view id);


/// Returns the response body (chat.completion) of a request without streaming.
std::string make_completion(
    std::string_view id,
    std::string_view model,
    std::string_view text,
    std::size_t tokens);

} // namespace monsoondock::engine_standin

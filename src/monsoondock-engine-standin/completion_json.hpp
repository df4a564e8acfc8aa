#pragma once

#include <string>
#include <string_view>

namespace monsoondock::engine_standin {

/// Returns the chunk that carries one token.
std::string token_chunk(std::string_view id, std::string_view token);


/// Returns the chunk that ends a whole answer.
std::string stop_chunk(std::string_view id);


/// Returns the answer to a request that is not streamed.
std::string whole_completion(
    std::string_view id,
    std::string_view model,
    std::string_view text,
    std::size_t tokens);

} // namespace monsoondock::engine_standin

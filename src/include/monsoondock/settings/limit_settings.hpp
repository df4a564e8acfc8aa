#pragma once

#include <cstdint>

namespace monsoondock::settings {

/// Limits on a single request.
template <template <class> class Wrap>
struct limit_settings
{
    /// Largest request body, in bytes.
    Wrap<std::uint64_t> max_body_bytes_;
    /// Maximum number of tokens that one request may generate.
    Wrap<std::uint64_t> max_answer_tokens_;
};

} // namespace monsoondock::settings

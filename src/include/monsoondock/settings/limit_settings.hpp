#pragma once

#include <cstdint>

namespace monsoondock::settings {

/// Bounds on single requests.
template <template <class> class Wrap>
struct limit_settings
{
    /// Largest request body, in bytes.
    Wrap<std::uint64_t> max_body_bytes_;
    /// Most tokens that one request may generate.
    Wrap<std::uint64_t> max_answer_tokens_;
};

} // namespace monsoondock::settings

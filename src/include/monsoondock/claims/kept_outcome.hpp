#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoondock::claims {

/// Complete answer of a plain service.
struct upstream_response
{
    unsigned status_ = 0;
    std::string content_type_;
    std::string body_;

    friend bool
    operator==(const upstream_response&, const upstream_response&) = default;
};


/// What the store keeps of an answer. A body above the bound is left out; its
/// length and digest stay.
struct kept_outcome
{
    unsigned status_ = 0;
    std::string content_type_;
    std::optional<std::string> body_;
    std::uint64_t body_bytes_ = 0;
    std::string body_digest_;

    friend bool operator==(const kept_outcome&, const kept_outcome&) = default;
};

/// Largest body that is kept whole, in bytes.
inline constexpr std::size_t MAX_KEPT_BODY_BYTES = 65536;


/// Returns what is kept of response when bodies up to limit bytes stay whole.
kept_outcome keep(
    const upstream_response& response, std::size_t limit = MAX_KEPT_BODY_BYTES);


/// Returns the answer to a repeat: the original one, or, when its body was
/// not kept, the original status with a JSON statement of length and digest.
upstream_response replay(const kept_outcome& outcome);

} // namespace monsoondock::claims

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoondock::claims {

/// Complete response of a service that answers without streaming.
struct upstream_response
{
    unsigned status_ = 0;
    std::string content_type_;
    std::string body_;

    friend bool
    operator==(const upstream_response&, const upstream_response&) = default;
};


/// Response as stored in a claim for replay. A body above the size limit is
/// omitted; its length and digest are stored instead.
struct kept_outcome
{
    unsigned status_ = 0;
    std::string content_type_;
    std::optional<std::string> body_;
    std::uint64_t body_bytes_ = 0;
    std::string body_digest_;

    friend bool operator==(const kept_outcome&, const kept_outcome&) = default;
};

/// Default size limit of a stored body, in bytes.
inline constexpr std::size_t MAX_KEPT_BODY_BYTES = 65536;


/// Returns the outcome to store for response. The body is included if it has at
/// most limit bytes.
kept_outcome to_kept_outcome(
    const upstream_response& response, std::size_t limit = MAX_KEPT_BODY_BYTES);


/// Returns the response to a retry: the original one or, when its body was not
/// stored, the original status with a JSON body that gives length and digest.
upstream_response replay(const kept_outcome& outcome);

} // namespace monsoondock::claims

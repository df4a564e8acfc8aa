#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/wire/channel.hpp>

#include <cstdint>
#include <string>

namespace monsoondock::wire {

/// Content of an authentic envelope.
struct envelope
{
    channel channel_ = channel::membership;
    base::daemon_id sender_;
    /// Number of the sender's life; a later life has a higher one.
    std::uint64_t boot_ = 0;
    /// Number of the envelope within its channel and life.
    std::uint64_t sequence_ = 0;
    std::string body_;
};

} // namespace monsoondock::wire

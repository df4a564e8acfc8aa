#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/wire/channel.hpp>
#include <monsoondock/wire/key_ring.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace monsoondock::wire {

/// A sealed envelope and its sequence number.
struct sealed_message
{
    std::string bytes_;
    std::uint64_t sequence_ = 0;
};


/// Wraps message bodies in envelopes authenticated with a shared key. Bodies
/// are not encrypted.
class sealer
{
public:
    /// incarnation must be higher than at every earlier start of the daemon;
    /// otherwise receivers drop its envelopes as replayed.
    sealer(base::daemon_id self, std::uint64_t incarnation, key_ring keys);


    /// Returns a sealed envelope with the body. Only a receiver that opens it
    /// for the same audience, for example its own address, accepts it.
    std::string
    seal(channel on, std::string_view audience, std::string_view body);


    /// Same as seal, but also returns the sequence number of the envelope.
    sealed_message
    seal_numbered(channel on, std::string_view audience, std::string_view body);


    /// Replaces the keys; the current one of the ring seals.
    void set_keys(key_ring keys);

private:
    base::daemon_id self_;
    std::uint64_t incarnation_;
    key_ring keys_;
    std::array<std::uint64_t, CHANNEL_COUNT> sequences_{};
};

} // namespace monsoondock::wire

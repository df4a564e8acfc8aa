#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/wire/channel.hpp>
#include <monsoondock/wire/key_ring.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace monsoondock::wire {

/// A sealed body and the number that its envelope got.
struct sealed_message
{
    std::string bytes_;
    std::uint64_t sequence_ = 0;
};


/// Wraps bodies into authenticated envelopes of one daemon.
class sealer
{
public:
    /// boot must be higher than that of every earlier life of the daemon.
    sealer(base::daemon_id self, std::uint64_t boot, key_ring keys);


    /// Returns the envelope of a body. Only a receiver that opens it with the
    /// same audience, for example its own address, accepts it.
    std::string
    seal(channel to, std::string_view audience, std::string_view body);


    /// Does the same and tells the number of the envelope.
    sealed_message
    seal_numbered(channel to, std::string_view audience, std::string_view body);


    /// Seals with other keys from now on.
    void set_keys(key_ring keys);

private:
    base::daemon_id self_;
    std::uint64_t boot_;
    key_ring keys_;
    std::array<std::uint64_t, CHANNEL_COUNT> sequences_{};
};

} // namespace monsoondock::wire

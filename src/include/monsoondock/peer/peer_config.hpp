#pragma once

#include <monsoondock/membership/member_record.hpp>
#include <monsoondock/membership/node_config.hpp>
#include <monsoondock/wire/key_ring.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace monsoondock::peer {

/// Configuration of a peer service.
struct peer_config
{
    membership::node_config node_;
    /// This daemon's own member record. Its peer endpoint is bound for UDP and
    /// TCP, and its incarnation is also that of the envelopes it seals.
    membership::member_record self_;
    std::vector<membership::endpoint> seeds_;
    wire::key_ring keys_;
    std::uint64_t random_seed_ = 0;
    /// Timeout of a request between peers, sent or served, from connection
    /// set-up to the last byte of the reply.
    std::chrono::milliseconds request_timeout_{2000};
    /// Maximum number of requests served concurrently.
    std::size_t max_connections_ = 64;
};

} // namespace monsoondock::peer

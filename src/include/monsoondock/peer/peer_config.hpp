#pragma once

#include <monsoondock/membership/member_record.hpp>
#include <monsoondock/membership/node_config.hpp>
#include <monsoondock/wire/key_ring.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace monsoondock::peer {

/// What a daemon needs to take part among its peers.
struct peer_config
{
    membership::node_config node_;
    /// The own record. Its peer endpoint is bound for UDP and TCP; its
    /// incarnation numbers the envelopes of this life too.
    membership::member_record self_;
    std::vector<membership::endpoint> seeds_;
    wire::key_ring keys_;
    std::uint64_t random_seed_ = 0;
    /// Bound on a request to a peer, from the connection to the last byte.
    std::chrono::milliseconds request_timeout_{2000};
    /// Largest number of requests that are answered at once.
    std::size_t max_connections_ = 64;
};

} // namespace monsoondock::peer

#pragma once

namespace monsoondock::metrics {

/// Lengths of time that are kept by workspace and class.
enum class latency
{
    first_token,
    token_gap,
    request
};


/// Numbers that only grow.
enum class counter
{
    requests,
    refusals,
    tokens,
    upstream_failures,
    retries,
    resumed_streams,
    cancelled,
    bad_requests,
    peer_bytes_sent,
    peer_bytes_received,
    peer_datagrams_dropped
};


/// Numbers that the control thread sets.
enum class gauge
{
    settings_revision,
    members_alive,
    groups_serving,
    ready
};

} // namespace monsoondock::metrics

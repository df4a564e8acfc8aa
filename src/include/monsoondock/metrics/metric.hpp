#pragma once

namespace monsoondock::metrics {

/// Latency histograms, labelled by workspace and class.
enum class latency
{
    first_token,
    token_gap,
    request,
    /// How late the control thread runs its periodic work.
    control_delay,
    /// Time from the first news of a newer configuration to its being in
    /// force, at a daemon that received it from a peer.
    settings_fetch
};


/// Monotonically increasing counters.
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
    peer_datagrams_dropped,
    /// Messages of other daemons; the class is their kind.
    peer_messages,
    /// Connections opened to find out whether a host accepts any; the class
    /// is the cause: own, asked (by a peer) or comparison.
    link_probes,
    /// Requests passed on to another daemon because links were cut.
    detours,
    /// Requests refused because of the predicted time to the first event; the
    /// class is the reason.
    admission_refusals
};


/// Current values, set by the control thread.
enum class gauge
{
    settings_revision,
    members_alive,
    groups_serving,
    ready,
    evacuated_data_centres
};


/// Current values, labelled by upstream host.
enum class host_gauge
{
    /// Pace of a slow upstream in relation to the others of its model; see
    /// hostpace.
    upstream_pace
};

} // namespace monsoondock::metrics

#include "cut_log.hpp"

#include "peek_socket.hpp"

#include <monsoondock/base/event_line.hpp>

namespace monsoondock::relay::pvt {

namespace {

void log_cut_request(const exchange& e, base::time_point now)
{
    base::event_line("request_cut", base::severity::warning)
        .field("request", e.id_)
        .field("route", e.route_->name_)
        .field("host", e.host_)
        .field("sends", e.sends_)
        .field("phase", to_string(e.phase_))
        .field("total", now - e.received_);
}

/// Connections of callers by what they wait for.
struct connection_counts
{
    unsigned idle_ = 0;
    unsigned reading_ = 0;
    unsigned exchange_ = 0;
    /// Idle connections with bytes that were never read.
    unsigned unread_ = 0;
};


bool holds_bytes(caller_connection& connection)
{
    boost::system::error_code ignored;
    return peek_socket(connection.socket_, ignored) == socket_content::bytes;
}


void add(connection_counts& counts, caller_connection& connection)
{
    switch (connection.phase_) {
    case caller_phase::idle:
        ++counts.idle_;
        if (holds_bytes(connection))
            ++counts.unread_;
        return;
    case caller_phase::header:
    case caller_phase::body:
        ++counts.reading_;
        return;
    case caller_phase::exchange:
        ++counts.exchange_;
        return;
    }
}

} // namespace

void log_aborted_requests(const proxy_thread& t)
{
    const base::time_point now = base::boot_clock::now();
    for (const auto& e : t.exchanges_)
        base::event_line("request_aborted", base::severity::warning)
            .field("request", e->id_)
            .field("route", e->route_->name_)
            .field("host", e->host_)
            .field(
                "acceptance",
                e->acceptance_ ? to_string(*e->acceptance_) : "before_shutdown")
            .field("sends", e->sends_)
            .field("phase", to_string(e->phase_))
            .field("silent", now - e->phase_start_)
            .field("deadline", e->deadline_ - now)
            .field("total", now - e->received_);
}


void log_cut_work(proxy_thread& t)
{
    const base::time_point now = base::boot_clock::now();
    for (const auto& e : t.exchanges_)
        log_cut_request(*e, now);
    connection_counts counts;
    for (const auto& connection : t.caller_connections_)
        add(counts, *connection);
    base::event_line("connections_closed")
        .field("idle", counts.idle_)
        .field("unread", counts.unread_)
        .field("reading", counts.reading_)
        .field("exchange", counts.exchange_);
}

} // namespace monsoondock::relay::pvt

#include "proxy_thread.hpp"

#include "crash_records.hpp"
#include "suspended_try.hpp"
#include "upstream_choice.hpp"
#include "upstream_pace.hpp"
#include "wait_limits.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds sweep_period{25};
constexpr std::chrono::milliseconds pool_check_period{500};
// How long after the deadline the connection to a caller that does not read its
// response is closed.
constexpr std::chrono::milliseconds write_grace{400};
// Upstreams that have responded within this time respond now.
constexpr std::chrono::milliseconds concurrent_progress{100};
// Peers reply to a query within a few milliseconds.
constexpr std::chrono::milliseconds peer_query_timeout{40};


// Ends the current try when the request can be sent to another upstream. A try
// whose upstream may still respond is ended only for a replacement that has
// been granted.
void reroute_if_allowed(proxy_thread& t, exchange& e, base::time_point now)
{
    if (e.phase_ == wait_phase::connect)
        stop(e, stop_reason::connect_timeout);
    else if (grant_replacement(t, e, now))
        stop(e, stop_reason::rerouted);
}


// Returns true when the upstream is marked unhealthy, or has sent nothing to
// this daemon for longer than the limit and no peer has confirmed in time that
// it responds. Queries the peers if necessary.
bool is_unresponsive(proxy_thread& t, const exchange& e, base::time_point now)
{
    const auto limit = wait_limit(e);
    upstream_state& s = t.upstream_table_.state_of(e.host_);
    if (s.unhealthy_until_ > now)
        return true;
    // Progress on other requests shows that the upstream is only slow.
    const base::time_point last_response =
        std::max(s.last_progress_, s.confirmed_by_peer_at_);
    if (now - last_response < limit)
        return false;
    if (s.peers_asked_at_ <= last_response) {
        s.peers_asked_at_ = now;
        if (t.callbacks_.on_no_progress_)
            t.callbacks_.on_no_progress_(e.host_);
    }
    return now - s.peers_asked_at_ >= peer_query_timeout;
}


// Returns true when the upstream of a stream has sent bytes but no event for so
// long that it is not waited for any longer, even without a replacement. A
// wholly silent upstream is given up by other checks.
bool is_stalled(const proxy_thread& t, const exchange& e, base::time_point now)
{
    const bool has_bytes =
        e.received_bytes_ ||
        (e.upstream_ != nullptr && e.upstream_->buffer_.size() > 0);
    return has_bytes && abandon_limit(e).count() > 0 &&
           now - e.phase_start_ >=
               std::max<std::chrono::nanoseconds>(
                   abandon_limit(e), t.config_.min_stall_time_);
}


void check_wait(proxy_thread& t, exchange& e, base::time_point now)
{
    if (e.suspended_ != nullptr && responds(*e.suspended_)) {
        stop(e, stop_reason::resumed);
        return;
    }
    const auto limit = wait_limit(e);
    if (limit.count() == 0 || now - e.phase_start_ < limit)
        return;
    // The daemon that serves a detour watches over its upstream.
    if (e.on_detour_ && e.phase_ != wait_phase::connect)
        return;
    if (e.phase_ != wait_phase::connect &&
        catalog::is_stream(e.route_->kind_)) {
        const bool link_cut = t.upstream_table_.state_of(e.host_).link_cut_;
        const bool unresponsive = link_cut || is_unresponsive(t, e, now);
        if (!unresponsive && now - e.phase_start_ < stall_limit(e))
            return;
        if (unresponsive && !link_cut &&
            t.upstream_table_.state_of(e.host_).unhealthy_until_ <= now)
            report_unhealthy(t, {e.host_, unhealthy_reason::silent, {}});
    }
    reroute_if_allowed(t, e, now);
    if (e.stop_reason_ == stop_reason::none && is_stalled(t, e, now))
        stop(e, stop_reason::stalled);
}


void sweep_exchange(proxy_thread& t, exchange& e, base::time_point now)
{
    if (now >= e.deadline_)
        stop(e, stop_reason::deadline);
    if (now >= e.deadline_ + write_grace) {
        boost::system::error_code ignored;
        e.caller_->socket_.close(ignored);
    }
    // Again, because the operation that was cancelled may have been followed by
    // another one of the same read.
    if (e.stop_reason_ == stop_reason::rerouted)
        stop(e, stop_reason::rerouted);
    if (e.stop_reason_ == stop_reason::none)
        check_wait(t, e, now);
}


// Returns what the kernel knows about the other end of a connection, which is
// read at most once in a period.
send_finding check_peer(
    boost::asio::ip::tcp::socket& socket,
    send_monitor& m,
    std::chrono::milliseconds limit,
    base::time_point now)
{
    if (now - m.checked_at_ < send_check_period || !socket.is_open())
        return send_finding::reads;
    const auto state = read_send_state(socket.native_handle());
    return state ? check_sending(m, *state, limit, now) : send_finding::reads;
}


// Disconnects a caller that does not read its response.
void check_reader(
    const proxy_thread& t, caller_connection& connection, base::time_point now)
{
    if (connection.phase_ == caller_phase::idle || connection.disconnected_)
        return;
    const send_finding finding = check_peer(
        connection.socket_,
        connection.sending_,
        t.config_.caller_stall_limit_,
        now);
    if (finding == send_finding::reads)
        return;
    base::event_line("caller_disconnected", base::severity::warning)
        .field("reason", to_string(finding))
        .field("acknowledged_bytes", connection.sending_.acknowledged_bytes_)
        .field("waited", now - connection.sending_.progress_at_);
    disconnect(connection);
}


// Closes the connection to an upstream whose host has failed while the request
// was being sent. One that only reads slowly has until the exchange gives up.
void check_receiver(exchange& e, base::time_point now)
{
    if (e.upstream_ == nullptr || e.phase_ == wait_phase::connect)
        return;
    const send_finding finding = check_peer(
        e.upstream_->socket_.next_layer(),
        e.upstream_->sending_,
        std::chrono::hours(24),
        now);
    if (finding != send_finding::unreachable)
        return;
    boost::system::error_code ignored;
    e.upstream_->socket_.next_layer().close(ignored);
}


void sweep_caller(caller_connection& connection, base::time_point now)
{
    if (connection.phase_ == caller_phase::exchange ||
        now < connection.phase_deadline_)
        return;
    connection.timed_out_ = true;
    connection.phase_deadline_ = base::time_point::max();
    boost::system::error_code ignored;
    connection.socket_.cancel(ignored);
}


void count_connections(proxy_thread& t)
{
    const auto busy = std::count_if(
        t.caller_connections_.begin(),
        t.caller_connections_.end(),
        [](const auto& connection) {
            return connection->phase_ != caller_phase::idle;
        });
    t.busy_connections_ = static_cast<std::uint64_t>(busy);
}


void sweep(proxy_thread& t, base::time_point now)
{
    count_connections(t);
    expire_losses(t, now);
    check_silent_losses(t, now);
    update_paces(t, now);
    for (const auto& e : t.exchanges_) {
        sweep_exchange(t, *e, now);
        check_receiver(*e, now);
    }
    for (const auto& connection : t.caller_connections_) {
        sweep_caller(*connection, now);
        check_reader(t, *connection, now);
    }
}


asio::awaitable<void> run_sweep(proxy_thread& t)
{
    base::time_point next_pool_check;
    for (;;) {
        t.sweep_timer_.expires_after(sweep_period);
        const auto [failure] =
            co_await t.sweep_timer_.async_wait(base::await_tuple);
        if (failure)
            co_return;
        const base::time_point now = base::boot_clock::now();
        sweep(t, now);
        if (now < next_pool_check)
            continue;
        next_pool_check = now + pool_check_period;
        t.upstream_pool_.close_expired(now);
    }
}

bool others_respond(proxy_thread& t, const base::host_id& host)
{
    const base::time_point now = base::boot_clock::now();
    const auto& states = t.upstream_table_.states();
    return std::any_of(states.begin(), states.end(), [&](const auto& entry) {
        return entry.first != host &&
               now - entry.second.last_progress_ < concurrent_progress;
    });
}

} // namespace

double random_fraction(proxy_thread& t)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(t.random_);
}


retry_limiter&
retry_limiter_of(proxy_thread& t, const base::deployment_id& deployment)
{
    return t.retry_limiters_
        .try_emplace(deployment, retry_limiter(t.config_.retry_limit_))
        .first->second;
}


void start_sweep(proxy_thread& t)
{
    asio::co_spawn(t.context_, run_sweep(t), asio::detached);
}


void report_unhealthy(proxy_thread& t, unhealthy_report report)
{
    report.others_respond_ = others_respond(t, report.host_);
    t.upstream_table_.state_of(report.host_).unhealthy_until_ =
        base::boot_clock::now() + unhealthy_period;
    base::event_line("upstream_unhealthy")
        .field("host", report.host_)
        .field("reason", to_string(report.reason_))
        .field("failed_address", report.failed_address_)
        .field("others_respond", report.others_respond_);
    if (t.callbacks_.on_unhealthy_)
        t.callbacks_.on_unhealthy_(report);
}

} // namespace monsoondock::relay::pvt

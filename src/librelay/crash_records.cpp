#include "crash_records.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/base/status_class.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string_view>
#include <utility>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using std::chrono::milliseconds;

// Reports that many daemons have to give are spread over this time for each of
// them, so that the first one spares the others theirs.
constexpr milliseconds report_spread_per_daemon{1};
// An upstream that accepts connections does so within a round trip.
constexpr milliseconds probe_timeout{200};
constexpr milliseconds probe_pause{100};
static_assert(2 * probe_timeout + probe_pause < silence_check_period);


milliseconds report_delay(proxy_thread& t)
{
    const milliseconds spread = report_spread_per_daemon * t.view_->daemons_;
    return milliseconds(
        static_cast<std::int64_t>(double(spread.count()) * random_fraction(t)));
}


std::uint64_t run_of(const upstream& u)
{
    return base::stable_hash(
        u.host_.value_, static_cast<std::uint64_t>(u.process_start_ms_));
}


// Requests that differ in a part only are different ones, also if that is the
// last part, which no other request has.
std::uint64_t content_of(const exchange& e)
{
    return e.fingerprint_ ^ e.prompt_hash_;
}


void log_quarantined(proxy_thread& t)
{
    for (const crashes::part_quarantine& q : t.part_tracker_.take_quarantined())
        crashes::log_quarantine(q);
}


void log_crashing_parts(
    const exchange& e, const crashes::part_set& parts, std::string_view outcome)
{
    base::event_line("crashing_part")
        .field("request", e.id_)
        .field("parts", crashes::to_text(parts))
        .field("outcome", outcome);
}


// Returns true when the request by itself crashes upstreams, whatever others
// have in common with it.
bool crashes_alone(const proxy_thread& t, const exchange& e)
{
    return t.crash_tracker_.crash_count(
               e.fingerprint_, base::boot_clock::now()) >=
           crash_tracker::max_crashes;
}

void record(proxy_thread& t, const possible_crash& crash)
{
    const base::time_point now = base::boot_clock::now();
    t.crash_tracker_.add(crash.report_, now);
    if (t.callbacks_.on_crash_)
        t.callbacks_.on_crash_(crash.report_);
    if (!crash.part_)
        return;
    crashes::part_crash part = *crash.part_;
    part.age_ = std::chrono::duration_cast<milliseconds>(now - crash.lost_at_);
    const crashes::part_report report =
        t.part_tracker_.add_crash(part, report_delay(t), now);
    log_quarantined(t);
    if (!report.empty() && t.callbacks_.on_part_report_)
        t.callbacks_.on_part_report_(report);
}


// Records a loss as a possible crash when its cause was not a cut link.
void find_cause(proxy_thread& t, possible_crash crash)
{
    if (!t.callbacks_.on_connection_lost_) {
        record(t, crash);
        return;
    }
    const base::host_id host = crash.report_.host_;
    t.possible_crashes_.push_back(std::move(crash));
    t.callbacks_.on_connection_lost_(host);
}


asio::awaitable<bool>
accepts_connections(proxy_thread& t, const asio::ip::tcp::endpoint& address)
{
    const auto socket = std::make_shared<asio::ip::tcp::socket>(t.context_);
    asio::steady_timer limit(t.context_, probe_timeout);
    limit.async_wait([socket](const boost::system::error_code& failure) {
        boost::system::error_code ignored;
        if (!failure)
            socket->close(ignored);
    });
    const auto [failure] =
        co_await socket->async_connect(address, base::await_tuple);
    co_return !failure;
}


void log_silent(
    const silent_loss& loss, std::string_view evidence, base::time_point now)
{
    base::event_line("upstream_fell_silent")
        .field("host", loss.report_.host_)
        .field("evidence", evidence)
        .field("fingerprint", crashes::to_text({loss.report_.fingerprint_}))
        .field("silence", now - loss.silent_since_);
}


// The losses stay watched: when nobody can tell whether the host has failed or
// links are cut, its restart may show it.
void blame_silent_losses(proxy_thread& t, const base::host_id& host)
{
    const base::time_point now = base::boot_clock::now();
    std::vector<silent_loss> failed;
    for (silent_loss& loss : t.silent_losses_) {
        const bool checked = loss.checked_at_ != base::time_point() &&
                             loss.checked_at_ != base::time_point::max();
        if (loss.report_.host_ != host || !checked)
            continue;
        loss.checked_at_ = base::time_point::max();
        failed.push_back(loss);
    }
    for (const silent_loss& loss : failed) {
        log_silent(loss, "unreachable", now);
        find_cause(t, {loss.report_, {}, now});
    }
}


// A host that accepts connections is slow, unless it is another process that
// has taken its place.
void record_acceptance(proxy_thread& t, const base::host_id& host)
{
    for (silent_loss& loss : t.silent_losses_) {
        const bool checked = loss.checked_at_ != base::time_point();
        if (loss.report_.host_ == host && checked &&
            loss.responded_at_ == base::time_point())
            loss.responded_at_ = base::boot_clock::now();
    }
}


// A connection may fail once because the queue of the listener is full.
asio::awaitable<void> check_silent_host(
    proxy_thread& t, base::host_id host, asio::ip::tcp::endpoint address)
{
    bool accepted = co_await accepts_connections(t, address);
    if (!accepted) {
        asio::steady_timer pause(t.context_, probe_pause);
        co_await pause.async_wait(base::await_tuple);
        accepted = co_await accepts_connections(t, address);
    }
    if (accepted)
        record_acceptance(t, host);
    else
        blame_silent_losses(t, host);
}

} // namespace

milliseconds response_age(const response_state& state)
{
    if (state.response_began_ == base::time_point())
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(
        base::boot_clock::now() - state.response_began_);
}


void record_possible_crash(
    proxy_thread& t,
    const exchange& e,
    const response_state& state,
    const upstream& target)
{
    if (e.stop_reason_ != stop_reason::none) {
        watch_silent_try(t, e, target);
        return;
    }
    possible_crash crash{
        {e.fingerprint_, target.host_, false}, {}, base::boot_clock::now()};
    // What crashes an upstream does so as the response begins.
    if (!e.prompt_parts_.empty() &&
        response_age(state) < crashes::part_tracker::max_crash_delay)
        crash.part_ = crashes::part_crash{
            e.prompt_parts_,
            run_of(target),
            content_of(e),
            state.response_began_ != base::time_point(),
            {}};
    find_cause(t, std::move(crash));
}


void watch_silent_try(
    proxy_thread& t, const exchange& e, const upstream& target)
{
    const base::time_point now = base::boot_clock::now();
    if (e.stop_reason_ == stop_reason::shutdown ||
        now - e.phase_start_ < min_wait)
        return;
    if (t.silent_losses_.size() >= max_silent_losses)
        t.silent_losses_.pop_front();
    silent_loss loss;
    loss.report_ = {e.fingerprint_, target.host_, false};
    loss.address_ = target.address_;
    loss.process_start_ms_ = target.process_start_ms_;
    loss.silent_since_ = e.phase_start_;
    loss.given_up_at_ = now;
    // From now on the state follows the list of hosts.
    t.upstream_table_.state_of(target.host_);
    t.silent_losses_.push_back(std::move(loss));
}


void check_silent_losses(proxy_thread& t, base::time_point now)
{
    std::map<base::host_id, asio::ip::tcp::endpoint> suspicious;
    std::vector<silent_loss> restarted;
    std::deque<silent_loss> watched;
    for (silent_loss& loss : std::exchange(t.silent_losses_, {})) {
        const base::host_id& host = loss.report_.host_;
        const upstream_state& s = t.upstream_table_.state_of(host);
        if (s.last_progress_ > loss.given_up_at_ &&
            loss.responded_at_ == base::time_point())
            loss.responded_at_ = now;
        const auto state =
            assess_silence(loss, s.last_progress_, s.process_start_ms_, now);
        if (state == silence_state::over)
            continue;
        if (state == silence_state::restarted) {
            restarted.push_back(std::move(loss));
            continue;
        }
        // Where the link is cut, only a restart tells.
        if (state == silence_state::suspicious && !s.link_cut_) {
            loss.checked_at_ = now;
            suspicious[host] = loss.address_;
        }
        watched.push_back(std::move(loss));
    }
    t.silent_losses_ = std::move(watched);
    for (const silent_loss& loss : restarted) {
        log_silent(loss, "restarted", now);
        record(t, {loss.report_, {}, now});
    }
    for (const auto& [host, address] : suspicious)
        asio::co_spawn(
            t.context_, check_silent_host(t, host, address), asio::detached);
}


void resolve_losses(proxy_thread& t, const base::host_id& host, bool link_cut)
{
    std::vector<possible_crash> resolved;
    std::erase_if(t.possible_crashes_, [&](possible_crash& c) {
        if (c.report_.host_ != host)
            return false;
        resolved.push_back(std::move(c));
        return true;
    });
    if (link_cut)
        return;
    for (const possible_crash& c : resolved)
        record(t, c);
}


void expire_losses(proxy_thread& t, base::time_point now)
{
    std::vector<base::host_id> hosts;
    for (const possible_crash& c : t.possible_crashes_) {
        if (now - c.lost_at_ >= max_loss_check_time)
            hosts.push_back(c.report_.host_);
    }
    for (const base::host_id& host : hosts)
        resolve_losses(t, host, false);
}


void record_completion(
    proxy_thread& t,
    const exchange& e,
    const response_state& state,
    const upstream& target)
{
    const base::time_point now = base::boot_clock::now();
    if (t.crash_tracker_.mark_completed(e.fingerprint_, now) &&
        t.callbacks_.on_crash_)
        t.callbacks_.on_crash_({e.fingerprint_, {}, true});
    const bool succeeded = !state.buffered_response_ ||
                           base::status_class_of(*state.buffered_response_) ==
                               http::status_class::successful;
    // The end of a connection may be that of the upstream.
    if (succeeded && state.framing_ != base::body_framing::connection_close)
        t.part_tracker_.add_completion(e.prompt_parts_, run_of(target), now);
}


void apply_part_report(proxy_thread& t, const crashes::part_report& report)
{
    t.part_tracker_.apply(report, report_delay(t), base::boot_clock::now());
    log_quarantined(t);
}


bool crashes_upstreams(const proxy_thread& t, const exchange& e)
{
    const auto parts = t.part_tracker_.find_quarantined(
        e.prompt_parts_, base::boot_clock::now());
    if (parts)
        log_crashing_parts(e, *parts, "not_repeated");
    return parts || crashes_alone(t, e);
}


bool admit_crashing_request(proxy_thread& t, const exchange& e)
{
    if (crashes_alone(t, e))
        return false;
    const base::time_point now = base::boot_clock::now();
    const auto parts = t.part_tracker_.find_quarantined(e.prompt_parts_, now);
    if (!parts)
        return true;
    const bool admitted = t.part_tracker_.admit_trial(
        e.prompt_parts_, t.view_->daemons_, random_fraction(t), now);
    log_crashing_parts(e, *parts, admitted ? "trial" : "rejected");
    return admitted;
}

} // namespace monsoondock::relay::pvt

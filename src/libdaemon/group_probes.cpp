#include "group_probes.hpp"

#include "engine_messages.hpp"
#include "group_peers.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/groups/pacing.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds PROBE_TIMEOUT{1000};


// Takes the limit that a status names, or its end.
void update_limit(
    const group_state& state,
    traffic::upstream_load& load,
    const engine_status& status)
{
    const base::time_point now = status.report_.received_at_;
    if (!status.limit_ && !load.limit_.statement(now))
        return;
    const double named = status.limit_.value_or(0);
    load.limit_.state({named, now});
    load.limit_.update_share(
        {status.report_.group_.value_},
        state.control_.config_.daemon_,
        state.control_.live_daemons_,
        now);
}


void update_reported_load(group_state& state, const engine_status& status)
{
    const auto found = state.loads_.find(status.report_.group_);
    if (found == state.loads_.end())
        return;
    update_limit(state, *found->second, status);
    if (status.report_.running_ == 0 && status.queued_ == 0 &&
        found->second->reported_running_ == 0)
        return;
    traffic::record_load_report(
        *found->second, status.report_.running_, status.queued_);
}


void handle_status(
    group_state& state,
    const base::host_id& host,
    base::time_point sent_at,
    const std::string& text)
{
    auto parsed = parse_engine_status(text);
    const base::time_point now = base::boot_clock::now();
    if (!base::ok(parsed)) {
        base::event_line("engine_status_invalid", base::severity::warning)
            .field("host", host)
            .field("reason", base::error(parsed).message_);
        state.contacts_.record_probe_failure(host, sent_at);
        state.evidence_.invalidate_host(host, now);
        return;
    }
    engine_status& status = base::value(parsed);
    status.report_.sent_at_ = sent_at;
    status.report_.received_at_ = now;
    state.contacts_.record_report(host, status.report_);
    state.evidence_.record_report(host, status.report_);
    update_reported_load(state, status);
}


asio::awaitable<void>
probe(group_state& state, base::host_id host, asio::ip::tcp::endpoint address)
{
    const base::time_point sent_at = base::boot_clock::now();
    const auto response =
        co_await state.engines_.get_status(address, PROBE_TIMEOUT);
    state.pending_probes_.erase(host);
    if (base::ok(response)) {
        handle_status(state, host, sent_at, base::value(response));
        co_return;
    }
    state.contacts_.record_probe_failure(host, sent_at);
    state.evidence_.invalidate_host(host, base::boot_clock::now());
}


std::vector<base::host_id> observed_hosts(const group_state& state)
{
    std::vector<base::host_id> hosts;
    for (const auto& [domain, known] : state.domains_) {
        for (const groups::group_record& group : known.record_.groups_) {
            if (observes(state.control_, group))
                hosts.insert(
                    hosts.end(), group.hosts_.begin(), group.hosts_.end());
        }
    }
    return hosts;
}

} // namespace

void probe_host(
    group_state& state,
    const base::host_id& host,
    std::chrono::milliseconds interval)
{
    const auto address = address_of(state.control_, host);
    const base::time_point now = base::boot_clock::now();
    base::time_point& last = state.last_probe_at_[host];
    if (!address || now - last < interval)
        return;
    if (!state.pending_probes_.insert(host).second)
        return;
    last = now;
    asio::co_spawn(
        state.control_.context_, probe(state, host, *address), asio::detached);
}


void probe_groups(group_state& state)
{
    const auto hosts = observed_hosts(state);
    const auto interval = groups::paced_interval(
        hosts.size(),
        groups::PROBE_BYTES,
        groups::PROBE_BYTES_PER_SECOND,
        state.timing_.probe_interval_,
        state.timing_.longest_probe_interval_);
    for (const base::host_id& host : hosts)
        probe_host(state, host, interval);
}

} // namespace monsoondock::daemon

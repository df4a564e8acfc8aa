#include "evacuation_watch.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/retry_delay.hpp>

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds watch_timeout{20000};
constexpr base::retry_bounds store_retry{150ms, 1000ms};
constexpr std::chrono::milliseconds role_poll_period{200};
// Peers repeat their evacuations every second, and a daemon is told within two
// repetitions once membership has spread it.
constexpr std::chrono::milliseconds peer_reply_time{3000};


std::ptrdiff_t
hosts_in(const control_plane& c, const base::data_centre_id& data_centre)
{
    return std::count_if(
        c.hosts_.hosts_.begin(), c.hosts_.hosts_.end(), [&](const auto& entry) {
            return entry.second.data_centre_ == data_centre;
        });
}


void log_change(
    const control_plane& c,
    const char* event,
    const base::data_centre_id& data_centre,
    std::string_view source)
{
    const platform::version& version = c.evacuations_.set_.version_;
    base::event_line(event, base::severity::warning)
        .field("data_centre", data_centre)
        .field("source", source)
        .field("version", version.value_)
        .field("era", version.era_)
        .field("upstreams", hosts_in(c, data_centre));
}


// Puts a set into force. Returns true when the data centres have changed.
bool apply_set(
    control_plane& c, const evacuation_set& set, std::string_view source)
{
    const bool was_known = is_known(c.evacuations_);
    const evacuation_change change =
        apply(c.evacuations_, set, base::boot_clock::now());
    for (const base::data_centre_id& id : change.begun_)
        log_change(c, "data_centre_evacuated", id, source);
    for (const base::data_centre_id& id : change.ended_)
        log_change(c, "evacuation_ended", id, source);
    const bool changed = !change.begun_.empty() || !change.ended_.empty();
    if (changed || !was_known) {
        c.metrics_.set(
            metrics::gauge::evacuated_data_centres,
            double(c.evacuations_.set_.data_centres_.size()));
        publish_status(c);
        publish_view(c);
        c.placement_timer_.cancel();
    }
    return changed;
}


evacuations_message make_message(const control_plane& c)
{
    data_centre_set with_hosts;
    for (const auto& [id, host] : c.hosts_.hosts_)
        with_hosts.insert(host.data_centre_);
    return {bounded(c.evacuations_.set_, with_hosts)};
}


// Applies the listed evacuations and tells the peers when they have changed.
// Returns the version to watch from.
asio::awaitable<std::optional<platform::version>>
list_evacuations(control_plane& c)
{
    const auto listed = co_await c.store_.list(c.adapter_.evacuations_prefix_);
    record_store_result(c, base::ok(listed));
    if (!base::ok(listed))
        co_return std::nullopt;
    const bool changed = apply_set(
        c,
        read_evacuations(base::value(listed), c.adapter_.evacuations_prefix_),
        "store");
    if (changed)
        broadcast(c, make_message(c));
    co_return base::value(listed).version_;
}


// Returns when an entry has changed, the watch has failed or this daemon is to
// watch no longer. Changes are read with another list: the set then always has
// one version of the store.
asio::awaitable<void>
watch_evacuations(control_plane& c, platform::version from)
{
    while (watches_catalog(c)) {
        const auto batch = co_await c.store_.watch(
            c.adapter_.evacuations_prefix_, from, watch_timeout);
        record_store_result(c, base::ok(batch));
        if (!base::ok(batch) || !base::value(batch).changes_.empty())
            co_return;
        from = base::value(batch).next_;
    }
}


// A daemon that the store rejects serves without evacuations unless a peer
// tells of some in time.
void presume_none(control_plane& c)
{
    if (is_known(c.evacuations_) ||
        base::boot_clock::now() - c.started_at_ < peer_reply_time)
        return;
    c.evacuations_.presumed_none_ = true;
    base::event_line("evacuations_unknown", base::severity::warning)
        .field("daemon", c.config_.daemon_);
    publish_status(c);
    publish_view(c);
}

} // namespace

asio::awaitable<void> run_evacuation_watch(control_plane& c)
{
    if (!c.config_.evacuations_)
        co_return;
    unsigned failures = 0;
    for (;;) {
        if (c.evacuations_.read_ && !watches_catalog(c)) {
            co_await sleep_for(c, role_poll_period);
            continue;
        }
        const auto from = co_await list_evacuations(c);
        failures = from ? 0 : failures + 1;
        if (from)
            co_await watch_evacuations(c, *from);
        else
            presume_none(c);
        co_await sleep_for(
            c, base::retry_delay(failures, store_retry, uniform_random(c)));
    }
}


asio::awaitable<void> check_evacuations(control_plane& c)
{
    if (c.config_.evacuations_)
        co_await list_evacuations(c);
}


void handle_evacuations(control_plane& c, const evacuations_message& m)
{
    if (c.config_.evacuations_)
        apply_set(c, m.set_, "peer");
}


std::optional<evacuations_message> repeated_evacuations(const control_plane& c)
{
    if (!c.config_.evacuations_ ||
        !is_repeated(c.evacuations_, base::boot_clock::now()))
        return std::nullopt;
    return make_message(c);
}


bool knows_evacuations(const control_plane& c)
{
    return !c.config_.evacuations_ || is_known(c.evacuations_);
}


bool is_evacuated(const control_plane& c, const base::data_centre_id& id)
{
    return c.evacuations_.set_.data_centres_.contains(id);
}

} // namespace monsoondock::entry::pvt

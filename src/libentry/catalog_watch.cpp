#include "control_plane.hpp"
#include "http_call.hpp"
#include "peer_topology.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/retry_delay.hpp>

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds catalog_watch_timeout{20000};
// Well below the time within which a newer configuration must be in force after
// a store outage. In most cases a peer provides it earlier.
constexpr base::retry_bounds store_retry{150ms, 1000ms};
constexpr std::chrono::milliseconds catalog_fetch_timeout{500};
// A working watch of the store delivers changes within this time, so a peer is
// rarely asked for a configuration that the store still provides.
constexpr std::chrono::milliseconds peer_sync_period{200};
// Daemons of each data centre of a large cluster that watch the configuration
// in the store. The others cost the store no call when it changes.
constexpr std::size_t watchers_per_data_centre = 3;
constexpr std::chrono::milliseconds role_poll_period{200};
// The watchers of a data centre have a new configuration within this time; only
// then is it worth the traffic to fetch it from another data centre.
constexpr std::chrono::milliseconds remote_fetch_delay{500};
// The lowest bits of a rank hold the era.
constexpr unsigned era_bits = 16;
constexpr std::uint64_t max_ranked_era = (1U << era_bits) - 1;


// Applies what was read from the store. Few daemons of a data centre watch it;
// they tell the others themselves, as gossip takes several steps to each of
// them and their status has to reach it before they are asked for the
// configuration.
void apply_object(control_plane& c, const platform::object& o)
{
    if (o.key_ == c.adapter_.catalog_key_ &&
        apply_catalog(c, o.value_, o.version_.era_, "store"))
        apply_node_output(
            c,
            c.node_.notify(
                nearby_peers(c.node_.members(), c.node_.self()),
                base::boot_clock::now()));
}


// Applies the stored configuration. Returns the version to watch from.
asio::awaitable<std::optional<platform::version>> list_catalog(control_plane& c)
{
    const auto listed = co_await c.store_.list(c.adapter_.catalog_prefix_);
    record_store_result(c, base::ok(listed));
    if (!base::ok(listed))
        co_return std::nullopt;
    for (const platform::object& o : base::value(listed).objects_)
        apply_object(c, o);
    co_return base::value(listed).version_;
}


asio::awaitable<void> watch_catalog(control_plane& c, platform::version from)
{
    while (watches_catalog(c)) {
        const auto batch = co_await c.store_.watch(
            c.adapter_.catalog_prefix_, from, catalog_watch_timeout);
        record_store_result(c, base::ok(batch));
        if (!base::ok(batch))
            co_return;
        for (const platform::change& change : base::value(batch).changes_) {
            if (!change.deleted_)
                apply_object(c, change.object_);
        }
        from = base::value(batch).next_;
    }
}


std::uint64_t active_version(const control_plane& c)
{
    return c.catalog_.catalog_ == nullptr ? 0 : c.catalog_.catalog_->version_;
}


std::uint64_t era_of_rank(std::uint64_t rank)
{
    return rank & max_ranked_era;
}


bool is_newer(
    const catalog_state& active,
    const catalog::catalog& read,
    const std::string& text,
    std::uint64_t era)
{
    if (active.catalog_ == nullptr || read.version_ > active.catalog_->version_)
        return true;
    return read.version_ == active.catalog_->version_ && era > active.era_ &&
           text != active.text_;
}


/// Peers with a configuration newer than the one in force here, all with the
/// newest one known in their scope.
struct newer_peers
{
    std::vector<membership::endpoint> local_;
    std::vector<membership::endpoint> remote_;
    std::uint64_t newest_local_ = 0;
    std::uint64_t newest_remote_ = 0;
};


/// Peer with a newer configuration, and the rank of that.
struct newer_peer
{
    membership::endpoint address_;
    std::uint64_t rank_ = 0;
};


newer_peers find_newer_peers(const control_plane& c)
{
    newer_peers peers;
    peers.newest_local_ = catalog_rank(c) + 1;
    peers.newest_remote_ = peers.newest_local_;
    for (const auto& [id, member] : c.node_.members()) {
        const membership::member_record& r = member.record_;
        const bool local = r.data_centre_ == c.config_.data_centre_;
        auto& newest = local ? peers.newest_local_ : peers.newest_remote_;
        auto& list = local ? peers.local_ : peers.remote_;
        const std::uint64_t rank = r.status_.settings_revision_;
        if (r.state_ == membership::member_state::dead || rank < newest)
            continue;
        if (rank > newest)
            list.clear();
        newest = rank;
        list.push_back(r.peer_);
    }
    return peers;
}


// Returns a random peer that has a newer configuration, so that a new one
// spreads without overloading the first daemon that has it. A peer of another
// data centre is returned only when no local one has had it since newer_since.
std::optional<newer_peer> choose_newer_peer(control_plane& c)
{
    auto& newer_since = c.catalog_.newer_known_at_;
    const newer_peers peers = find_newer_peers(c);
    if (peers.local_.empty() && peers.remote_.empty()) {
        newer_since.reset();
        return std::nullopt;
    }
    const base::time_point now = base::boot_clock::now();
    if (!newer_since)
        newer_since = now;
    const bool has_local = !peers.local_.empty();
    if (!has_local && now - *newer_since < remote_fetch_delay)
        return std::nullopt;
    const auto& list = has_local ? peers.local_ : peers.remote_;
    return newer_peer{
        list[c.random_() % list.size()],
        has_local ? peers.newest_local_ : peers.newest_remote_};
}

} // namespace

bool watches_catalog(const control_plane& c)
{
    if (c.leader_.leading_)
        return true;
    const auto& members = c.node_.members();
    return has_settled(c) && (is_small_cluster(members) ||
                              data_centre_rank(members, c.node_.self()) <
                                  watchers_per_data_centre);
}


std::uint64_t catalog_rank(const control_plane& c)
{
    if (c.catalog_.catalog_ == nullptr)
        return 0;
    return active_version(c) << era_bits |
           std::min(c.catalog_.era_, max_ranked_era);
}


bool apply_catalog(
    control_plane& c,
    const std::string& text,
    std::uint64_t era,
    std::string_view source)
{
    auto parsed = c.adapter_.parse_catalog_(text);
    if (!base::ok(parsed)) {
        base::event_line("settings_unreadable", base::severity::error)
            .field("source", source)
            .field("reason", base::to_string(base::error(parsed)));
        return false;
    }
    auto updated =
        std::make_shared<catalog::catalog>(base::value(std::move(parsed)));
    const std::uint64_t previous = active_version(c);
    if (!is_newer(c.catalog_, *updated, text, era))
        return false;
    const base::time_point now = base::boot_clock::now();
    const auto newer_known_at = c.catalog_.newer_known_at_;
    base::event_line("settings_in_force")
        .field("version", updated->version_)
        .field("before", previous)
        .field("era", era)
        .field("source", source)
        .field("newer_known_for", now - newer_known_at.value_or(now))
        .field("routes", updated->routes_.size())
        .field("daemon", c.config_.daemon_);
    if (newer_known_at)
        c.metrics_.observe(
            metrics::latency::settings_fetch,
            {"none", "none"},
            now - *newer_known_at);
    c.catalog_ = {std::move(updated), text, era, newer_known_at};
    publish_status(c);
    publish_view(c);
    return true;
}


namespace {

// A peer may have read the text in force in a later era.
void apply_peer_catalog(
    control_plane& c, const std::string& text, std::uint64_t era)
{
    if (apply_catalog(c, text, era, "peer") || text != c.catalog_.text_ ||
        era <= c.catalog_.era_)
        return;
    c.catalog_.era_ = era;
    publish_status(c);
}

} // namespace

asio::awaitable<void> run_catalog_watch(control_plane& c)
{
    unsigned failures = 0;
    for (;;) {
        if (c.catalog_.catalog_ != nullptr && !watches_catalog(c)) {
            co_await sleep_for(c, role_poll_period);
            continue;
        }
        const auto from = co_await list_catalog(c);
        failures = from ? 0 : failures + 1;
        if (from)
            co_await watch_catalog(c, *from);
        co_await sleep_for(
            c, base::retry_delay(failures, store_retry, uniform_random(c)));
    }
}


asio::awaitable<void> run_catalog_peer_sync(control_plane& c)
{
    for (;;) {
        co_await sleep_for(c, peer_sync_period);
        const auto peer = choose_newer_peer(c);
        if (!peer)
            continue;
        const auto text = co_await http_get(
            c.context_,
            {asio::ip::address_v4(peer->address_.address_),
             peer->address_.port_},
            settings_path,
            catalog_fetch_timeout);
        if (text)
            apply_peer_catalog(c, *text, era_of_rank(peer->rank_));
        else
            base::event_line(
                "peer_settings_fetch_failed", base::severity::warning)
                .field("peer", membership::to_string(peer->address_));
    }
}

} // namespace monsoondock::entry::pvt

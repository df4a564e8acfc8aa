#include "control_plane.hpp"
#include "http_call.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/retry_delay.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds host_sync_timeout{400};
// A leader is not followed if its latest response from the store, or its latest
// heartbeat, is older than this.
constexpr std::chrono::milliseconds max_store_contact_age{1000};
constexpr std::chrono::milliseconds max_heartbeat_age{700};
constexpr std::chrono::milliseconds sync_period{400};
// Pause after a fetch, so that the next one returns a whole burst of changes.
constexpr std::chrono::milliseconds sync_batch_pause{20};
constexpr base::retry_bounds peer_retry{50ms, 800ms};
constexpr unsigned failures_before_relist = 3;


std::optional<membership::endpoint> leader_address(const control_plane& c)
{
    const auto found = c.node_.members().find(c.leader_.leader_);
    if (found == c.node_.members().end())
        return std::nullopt;
    return found->second.record_.peer_;
}


// Returns the leader while this daemon follows it, or a random live peer while
// the store does not respond.
std::optional<membership::endpoint> choose_peer(control_plane& c)
{
    if (follows_leader(c))
        return leader_address(c);
    if (!c.store_failed_)
        return std::nullopt;
    std::vector<membership::endpoint> live;
    for (const auto& [id, member] : c.node_.members()) {
        if (member.record_.state_ == membership::member_state::alive)
            live.push_back(member.record_.peer_);
    }
    if (live.empty())
        return std::nullopt;
    return live[c.random_() % live.size()];
}


bool is_behind(const control_plane& c)
{
    if (!follows_leader(c))
        return c.store_failed_;
    return !(c.hosts_.applied_position_ == c.hosts_.leader_position_);
}


// Returns true when the peer's response was applied.
asio::awaitable<bool>
fetch_host_changes(control_plane& c, membership::endpoint peer)
{
    const host_sync_request request{
        c.hosts_.applied_position_, compute_digest(c.hosts_.entries_)};
    const auto text = co_await http_get(
        c.context_,
        {asio::ip::address_v4(peer.address_), peer.port_},
        hosts_path + to_query(request),
        host_sync_timeout);
    const auto response = text ? parse_sync_response(*text) : std::nullopt;
    if (response && (follows_leader(c) || c.store_failed_)) {
        apply_sync_response(c, *response);
        c.hosts_.applied_position_ = response->position_;
        co_return true;
    }
    base::event_line("peer_hosts_fetch_failed", base::severity::warning)
        .field("peer", membership::to_string(peer));
    co_return false;
}


// Fetches missing changes from a peer. Lists the store after every few failures
// in a row.
asio::awaitable<void> sync_hosts_from_peer(control_plane& c)
{
    unsigned failures = 0;
    while (is_behind(c)) {
        const auto peer = choose_peer(c);
        if (!peer)
            co_return;
        if (co_await fetch_host_changes(c, *peer)) {
            failures = 0;
            co_await sleep_for(c, sync_batch_pause);
        } else {
            co_await sleep_for(
                c,
                base::retry_delay(failures++, peer_retry, uniform_random(c)));
            if (failures % failures_before_relist == 0)
                co_await relist_hosts(c);
        }
        if (!follows_leader(c))
            co_return;
    }
}

} // namespace

bool follows_leader(const control_plane& c)
{
    const leader_state& l = c.leader_;
    const base::time_point now = base::boot_clock::now();
    return !l.leading_ && !l.resigned_ && c.hosts_.loaded_ &&
           now - l.last_heartbeat_at_ < max_heartbeat_age &&
           now - l.leader_store_contact_at_ < max_store_contact_age;
}


void update_leader_position(control_plane& c, const host_log_position& p)
{
    c.hosts_.leader_position_ = p;
    if (is_behind(c))
        c.peer_sync_timer_.cancel();
}


void apply_pushed_changes(control_plane& c, const host_changes_message& m)
{
    // The position of a previous leader is not one to catch up with.
    if (m.term_ < c.leader_.term_)
        return;
    const auto response =
        response_from_push(c.hosts_.applied_position_, m.position_, m.changes_);
    if (response && follows_leader(c)) {
        apply_sync_response(c, *response);
        c.hosts_.applied_position_ = response->position_;
    }
    update_leader_position(c, m.position_);
}


asio::awaitable<void> run_host_peer_sync(control_plane& c)
{
    for (;;) {
        c.peer_sync_timer_.expires_after(sync_period);
        co_await c.peer_sync_timer_.async_wait(base::await_tuple);
        co_await sync_hosts_from_peer(c);
    }
}

} // namespace monsoondock::entry::pvt

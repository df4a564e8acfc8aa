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
// A daemon without a source waits this long for one before it asks a random
// peer, and between two such requests.
constexpr std::chrono::milliseconds max_silence{2000};
constexpr std::chrono::milliseconds poll_period{2000};


// Returns true when this daemon has neither a leader to follow nor the task to
// watch the store, for so long that it asks a peer.
bool lacks_source(const control_plane& c)
{
    return !follows_leader(c) && !watches_hosts(c) &&
           base::boot_clock::now() - c.hosts_.source_.heard_at_ > max_silence;
}


// Returns the followed daemon, or a random live peer while there is none.
std::optional<membership::endpoint> choose_peer(control_plane& c)
{
    if (follows_leader(c))
        return c.hosts_.source_.address_;
    if (!lacks_source(c) && !c.store_failed_)
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
    if (follows_leader(c))
        return lacks_changes(
            c.hosts_.applied_position_, c.hosts_.source_.position_);
    const auto since_poll = base::boot_clock::now() - c.hosts_.peer_polled_at_;
    return (c.store_failed_ || lacks_source(c)) && since_poll > poll_period;
}


void record_catching_up(control_plane& c)
{
    if (follows_leader(c) && !is_behind(c))
        c.hosts_.caught_up_at_ = base::boot_clock::now();
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
    c.hosts_.peer_polled_at_ = base::boot_clock::now();
    if (response && !c.leader_.leading_) {
        apply_sync_response(c, *response);
        c.hosts_.applied_position_ = response->position_;
        record_catching_up(c);
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
           now - c.hosts_.source_.heard_at_ < max_heartbeat_age &&
           now - l.leader_store_contact_at_ < max_store_contact_age;
}


void update_host_source(
    control_plane& c,
    const membership::endpoint& sender,
    const host_log_position& position)
{
    host_source& source = c.hosts_.source_;
    const base::time_point now = base::boot_clock::now();
    if (source.address_ != sender && now - source.heard_at_ < max_heartbeat_age)
        return;
    source = {sender, position, now};
    record_catching_up(c);
    if (is_behind(c))
        c.peer_sync_timer_.cancel();
}


void apply_pushed_changes(
    control_plane& c,
    const host_changes_message& m,
    const membership::endpoint& sender)
{
    // The position of a previous leader is not one to catch up with.
    if (m.term_ < c.leader_.term_ || sender != c.hosts_.source_.address_)
        return;
    const auto response =
        response_from_push(c.hosts_.applied_position_, m.position_, m.changes_);
    if (response && follows_leader(c)) {
        apply_sync_response(c, *response);
        c.hosts_.applied_position_ = response->position_;
    }
    c.hosts_.source_.position_ = m.position_;
    record_catching_up(c);
    if (is_behind(c))
        c.peer_sync_timer_.cancel();
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

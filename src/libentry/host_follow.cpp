#include "control.hpp"
#include "page_client.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/retry_delay.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds peer_timeout{400};
// A leader that has not heard the store for so long is not followed.
constexpr std::chrono::milliseconds longest_store_silence{1000};
// A leader that has not been heard for so long is not followed.
constexpr std::chrono::milliseconds longest_beat_silence{700};
constexpr std::chrono::milliseconds idle_period{400};
// Changes come in bursts; they are fetched together.
constexpr std::chrono::milliseconds batch_pause{20};
constexpr base::retry_bounds peer_retry{50ms, 800ms};
constexpr unsigned failures_before_store = 3;


std::optional<membership::endpoint> leader_address(const control& c)
{
    const auto found = c.node_.members().find(c.leader_.leader_);
    if (found == c.node_.members().end())
        return std::nullopt;
    return found->second.record_.peer_;
}


// Returns the leader while it is followed, or any live peer while the store
// does not answer this daemon.
std::optional<membership::endpoint> choose_peer(control& c)
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


bool is_behind(const control& c)
{
    if (!follows_leader(c))
        return c.store_failed_;
    return !(c.hosts_.followed_ == c.hosts_.announced_);
}


// Returns true when the peer answered.
asio::awaitable<bool> fetch_changes(control& c, membership::endpoint peer)
{
    const feed_question q{c.hosts_.followed_, digest_of(c.hosts_.entries_)};
    const auto text = co_await get_page(
        c.context_,
        {asio::ip::address_v4(peer.address_), peer.port_},
        hosts_page + to_query(q),
        peer_timeout);
    const auto answer = text ? parse_feed_answer(*text) : std::nullopt;
    if (answer && (follows_leader(c) || c.store_failed_)) {
        take_answer(c, *answer);
        c.hosts_.followed_ = answer->position_;
        co_return true;
    }
    base::event_line("peer_hosts_failed", base::severity::warning)
        .field("peer", membership::to_string(peer));
    co_return false;
}


// Takes what is missing from a peer; from the store when the peer does not
// answer.
asio::awaitable<void> catch_up(control& c)
{
    unsigned failures = 0;
    while (is_behind(c)) {
        const auto peer = choose_peer(c);
        if (!peer)
            co_return;
        if (co_await fetch_changes(c, *peer)) {
            failures = 0;
            co_await sleep_for(c, batch_pause);
        } else {
            co_await sleep_for(
                c, base::retry_delay(failures++, peer_retry, draw(c)));
            if (failures % failures_before_store == 0)
                co_await reread_hosts(c);
        }
        if (!follows_leader(c))
            co_return;
    }
}

} // namespace

bool follows_leader(const control& c)
{
    const leader_state& l = c.leader_;
    const base::time_point now = base::boot_clock::now();
    return !l.leading_ && !l.resigned_ && c.hosts_.known_ &&
           now - l.heard_at_ < longest_beat_silence &&
           now - l.store_heard_at_ < longest_store_silence;
}


void note_feed(control& c, const feed_position& p)
{
    c.hosts_.announced_ = p;
    if (is_behind(c))
        c.follow_wake_.cancel();
}


void take_feed(control& c, const feed_message& m)
{
    // What an earlier leader announces is no position to wait for.
    if (m.term_ < c.leader_.term_)
        return;
    const auto pushed = take_push(c.hosts_.followed_, m.position_, m.changes_);
    if (pushed && follows_leader(c)) {
        take_answer(c, *pushed);
        c.hosts_.followed_ = pushed->position_;
    }
    note_feed(c, m.position_);
}


asio::awaitable<void> run_host_follow(control& c)
{
    for (;;) {
        c.follow_wake_.expires_after(idle_period);
        co_await c.follow_wake_.async_wait(base::await_tuple);
        co_await catch_up(c);
    }
}

} // namespace monsoondock::entry::pvt

#include "control.hpp"
#include "page_client.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds peer_timeout{400};
// A leader that has not heard the store for so long is not followed.
constexpr std::chrono::milliseconds longest_store_silence{1000};
// A leader that has not been heard for so long is not followed.
constexpr std::chrono::milliseconds longest_beat_silence{700};
constexpr std::chrono::milliseconds idle_period{400};
// Changes come in bursts; they are fetched together.
constexpr std::chrono::milliseconds batch_pause{20};


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


void take_answer(control& c, const feed_answer& a)
{
    if (a.complete_) {
        platform::listing all;
        for (const platform::change& change : a.changes_)
            all.objects_.push_back(change.object_);
        all.version_ = c.hosts_.seen_;
        take_hosts(c, all);
    } else {
        take_changes(c, a.changes_);
    }
    c.hosts_.followed_ = a.position_;
}


asio::awaitable<void> fetch_changes(control& c, membership::endpoint peer)
{
    const feed_position from = c.hosts_.followed_;
    const auto text = co_await get_page(
        c.context_,
        {asio::ip::address_v4(peer.address_), peer.port_},
        std::string(hosts_page) + "?source=" + from.source_ +
            "&after=" + std::to_string(from.sequence_),
        peer_timeout);
    const auto answer = text ? parse_feed_answer(*text) : std::nullopt;
    if (answer && (follows_leader(c) || c.store_failed_)) {
        take_answer(c, *answer);
        co_return;
    }
    base::event_line("peer_hosts_failed", base::severity::warning)
        .field("peer", membership::to_string(peer));
    co_await sleep_for(c, batch_pause);
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


asio::awaitable<void> run_host_follow(control& c)
{
    for (;;) {
        c.follow_wake_.expires_after(idle_period);
        co_await c.follow_wake_.async_wait(base::await_tuple);
        while (is_behind(c)) {
            const auto peer = choose_peer(c);
            if (!peer)
                break;
            co_await fetch_changes(c, *peer);
            co_await sleep_for(c, batch_pause);
            if (!follows_leader(c))
                break;
        }
    }
}

} // namespace monsoondock::entry::pvt

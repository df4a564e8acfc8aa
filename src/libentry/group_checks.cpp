#include "control.hpp"
#include "page_client.hpp"

#include <monsoondock/base/event_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds check_time{200};
constexpr std::chrono::milliseconds check_pause{600};
// A host that accepts no connection counts as lost for so long; the list
// shows by then whether it is gone.
constexpr std::chrono::milliseconds unreachable_time{8000};
// How long a host counts as lost that the head of its group named.
constexpr std::chrono::milliseconds named_time{3000};


std::vector<base::host_id>
members_of(const control& c, const base::host_id& head)
{
    const auto found = c.hosts_.hosts_.find(head);
    if (found == c.hosts_.hosts_.end())
        return {};
    if (!found->second.role_)
        return {head};
    std::vector<base::host_id> members;
    for (const auto& [id, host] : c.hosts_.hosts_) {
        if (host.role_ && host.role_->key_ == found->second.role_->key_)
            members.push_back(id);
    }
    return members;
}


std::optional<base::host_id>
host_at(const control& c, const std::string& address)
{
    if (address.empty())
        return std::nullopt;
    for (const auto& [id, host] : c.hosts_.hosts_) {
        if (host.address_ == address)
            return id;
    }
    return std::nullopt;
}


std::string address_text(const asio::ip::tcp::endpoint& address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}


asio::awaitable<void>
try_to_reach(control& c, base::host_id host, asio::ip::tcp::endpoint address)
{
    const bool reached =
        co_await accepts_connections(c.context_, address, check_time);
    if (reached)
        broadcast(c, reached_message{host});
}


/// Checks under way for one group.
struct group_check
{
    base::host_id head_;
    std::size_t open_ = 0;
    bool any_lost_ = false;
    bool named_ = false;
};


void finish(control& c, const group_check& check)
{
    if (check.any_lost_ || check.named_) {
        c.placement_wake_.cancel();
        return;
    }
    base::event_line("doubt_cleared").field("host", check.head_);
    c.front_->mark_healthy(check.head_);
    broadcast(c, trust_message{check.head_});
}


asio::awaitable<void> check_host(
    control& c,
    std::shared_ptr<group_check> check,
    base::host_id id,
    asio::ip::tcp::endpoint address)
{
    bool reached =
        co_await accepts_connections(c.context_, address, check_time);
    if (!reached)
        reached = co_await accepts_connections(c.context_, address, check_time);
    if (reached) {
        if (!check->named_)
            c.verdicts_[id].unreachable_until_ = {};
    } else {
        note_lost_host(c, id);
        broadcast(c, lost_host_message{id});
        broadcast(c, reach_question{id, address_text(address)});
        check->any_lost_ = true;
        base::event_line("host_unreachable", base::severity::warning)
            .field("host", id)
            .field("head", check->head_);
        c.placement_wake_.cancel();
    }
    if (--check->open_ == 0)
        finish(c, *check);
}

} // namespace

void answer_reach(control& c, const reach_question& q)
{
    const auto address = settings::parse_socket_address(q.address_);
    if (address)
        asio::co_spawn(
            c.context_,
            try_to_reach(
                c,
                q.host_,
                {asio::ip::make_address(address->ip_), address->port_}),
            asio::detached);
}


void note_lost_host(control& c, const base::host_id& host)
{
    auto& verdict = c.verdicts_[host];
    const base::time_point now = base::boot_clock::now();
    const bool known = verdict.unreachable_until_ > now;
    verdict.unreachable_until_ = now + unreachable_time;
    if (!known)
        publish_view(c);
}


void check_group(control& c, const doubt_message& d)
{
    if (!c.leader_.leading_)
        return;
    const base::time_point now = base::boot_clock::now();
    const auto failed = host_at(c, d.failed_address_);
    const bool named = failed.has_value();
    if (named) {
        c.verdicts_[*failed].unreachable_until_ = now + named_time;
        c.placement_wake_.cancel();
    }
    auto& head = c.verdicts_[d.host_];
    if (now - head.checked_at_ < check_pause)
        return;
    head.checked_at_ = now;
    auto check = std::make_shared<group_check>();
    check->head_ = d.host_;
    check->named_ = named;
    const auto members = members_of(c, d.host_);
    check->open_ = members.size();
    for (const base::host_id& id : members) {
        const auto address =
            settings::parse_socket_address(c.hosts_.hosts_.at(id).address_);
        if (!address) {
            --check->open_;
            continue;
        }
        asio::co_spawn(
            c.context_,
            check_host(
                c,
                check,
                id,
                {asio::ip::make_address(address->ip_), address->port_}),
            asio::detached);
    }
}

} // namespace monsoondock::entry::pvt

#include "control_plane.hpp"

#include <monsoondock/base/event_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds min_check_interval{600};
// Time for which a host that failed its probes is treated as unreachable. By
// its end the store shows whether the host is gone.
constexpr std::chrono::milliseconds probed_unreachable_period{8000};
// Same for a host that the head of its group reported as failed.
constexpr std::chrono::milliseconds reported_unreachable_period{3000};


std::vector<base::host_id>
members_of(const control_plane& c, const base::host_id& head)
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
host_at(const control_plane& c, const std::string& address)
{
    if (address.empty())
        return std::nullopt;
    for (const auto& [id, host] : c.hosts_.hosts_) {
        if (host.address_ == address)
            return id;
    }
    return std::nullopt;
}


/// Progress of the probes of one group's hosts.
struct group_check
{
    base::host_id head_;
    std::size_t pending_probes_ = 0;
    bool any_unreachable_ = false;
    /// The head reported another member as failed.
    bool member_reported_ = false;
};


void finish_check(control_plane& c, const group_check& check)
{
    if (check.any_unreachable_ || check.member_reported_) {
        c.placement_timer_.cancel();
        return;
    }
    base::event_line("upstream_suspicion_cleared").field("host", check.head_);
    c.proxy_->mark_healthy(check.head_);
    broadcast(c, upstream_healthy_message{check.head_});
}


asio::awaitable<void> check_host(
    control_plane& c, std::shared_ptr<group_check> check, base::host_id id)
{
    const paths::conclusion conclusion = co_await check_link(c, id);
    if (conclusion == paths::conclusion::reached) {
        if (!check->member_reported_)
            c.reachability_[id].unreachable_until_ = {};
    } else if (conclusion == paths::conclusion::host_failed) {
        mark_host_unreachable(c, id);
        broadcast(c, host_unreachable_message{id});
        check->any_unreachable_ = true;
        base::event_line("host_unreachable", base::severity::warning)
            .field("host", id)
            .field("head", check->head_);
        c.placement_timer_.cancel();
    }
    if (--check->pending_probes_ == 0)
        finish_check(c, *check);
}

} // namespace

void mark_host_unreachable(control_plane& c, const base::host_id& host)
{
    auto& reachability = c.reachability_[host];
    const base::time_point now = base::boot_clock::now();
    const bool already_marked = reachability.unreachable_until_ > now;
    reachability.unreachable_until_ = now + probed_unreachable_period;
    if (!already_marked)
        publish_view(c);
}


void check_group(control_plane& c, const upstream_suspected_message& suspicion)
{
    if (!c.leader_.leading_)
        return;
    const base::time_point now = base::boot_clock::now();
    const auto reported_host = host_at(c, suspicion.failed_address_);
    const bool member_reported = reported_host.has_value();
    if (member_reported) {
        c.reachability_[*reported_host].unreachable_until_ =
            now + reported_unreachable_period;
        c.placement_timer_.cancel();
    }
    auto& head = c.reachability_[suspicion.host_];
    if (now - head.last_checked_at_ < min_check_interval)
        return;
    head.last_checked_at_ = now;
    auto check = std::make_shared<group_check>();
    check->head_ = suspicion.host_;
    check->member_reported_ = member_reported;
    const auto members = members_of(c, suspicion.host_);
    check->pending_probes_ = members.size();
    for (const base::host_id& id : members) {
        asio::co_spawn(c.context_, check_host(c, check, id), asio::detached);
    }
}

} // namespace monsoondock::entry::pvt

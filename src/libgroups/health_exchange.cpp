#include <monsoondock/groups/health_exchange.hpp>

#include <algorithm>
#include <limits>

namespace monsoondock::groups {

namespace {

std::uint64_t stamp_of(base::time_point t)
{
    return static_cast<std::uint64_t>(t.time_since_epoch().count());
}


std::uint16_t rounded_up_ms(base::duration age)
{
    constexpr std::int64_t longest = std::numeric_limits<std::uint16_t>::max();
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(ms, 0, longest));
}

} // namespace

health_request health_exchange::start_request(
    const base::daemon_id& peer,
    std::vector<std::uint64_t> groups,
    base::time_point now)
{
    pending_request& request = peers_[peer];
    if (request.sent_at_)
        ++request.unanswered_;
    request.sent_at_ = now;
    return health_request{stamp_of(now), std::move(groups)};
}


std::optional<base::time_point>
health_exchange::accept(const base::daemon_id& peer, const health_reply& reply)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end() || !found->second.sent_at_)
        return std::nullopt;
    pending_request& request = found->second;
    const base::time_point sent_at = *request.sent_at_;
    if (stamp_of(sent_at) != reply.stamp_)
        return std::nullopt;
    request.sent_at_.reset();
    request.unanswered_ = 0;
    return sent_at;
}


std::size_t health_exchange::unanswered(const base::daemon_id& peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? 0 : found->second.unanswered_;
}


group_health make_group_health(
    const group_view& group,
    const evidence_table& evidence,
    base::time_point now,
    std::chrono::milliseconds lease)
{
    group_health entry{
        group_generation_key(group.id_, group.generation_), 0, 0};
    base::duration oldest{0};
    for (std::size_t rank = 0; rank < group.members_.size(); ++rank) {
        const auto observed_at = evidence.last_ready(
            group.members_[rank].host_, group.id_, group.generation_);
        if (!observed_at || now - *observed_at >= lease) {
            entry.missing_ |= std::uint32_t{1} << rank;
            continue;
        }
        oldest = std::max(oldest, now - *observed_at);
    }
    entry.age_ms_ = rounded_up_ms(oldest);
    return entry;
}


void apply_group_health(
    evidence_table& evidence,
    const group_view& group,
    const group_health& entry,
    base::time_point sent_at)
{
    if (entry.key_ != group_generation_key(group.id_, group.generation_))
        return;
    const base::time_point observed_at =
        sent_at - std::chrono::milliseconds(entry.age_ms_);
    for (std::size_t rank = 0; rank < group.members_.size(); ++rank) {
        if ((entry.missing_ >> rank & 1U) != 0)
            continue;
        evidence.record_ready(
            group.members_[rank].host_,
            host_evidence{group.id_, group.generation_, observed_at});
    }
}

} // namespace monsoondock::groups

#include <monsoondock/groups/may_dispatch.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace monsoondock::groups {

namespace {

std::optional<dispatch_decision> check_group(const group_view& group)
{
    if (group.phase_ != group_phase::serving || group.members_.empty())
        return group_not_serving{group.phase_};
    if (group.conflicting_)
        return member_contested{group.id_};
    for (const member_view& member : group.members_) {
        if (member.leaving_ || !member.listed_)
            return member_leaving{member.host_};
    }
    return std::nullopt;
}

} // namespace

dispatch_decision may_dispatch(
    const group_view& group,
    const evidence_table& evidence,
    base::time_point now,
    std::chrono::milliseconds lease)
{
    if (auto refusal = check_group(group))
        return *refusal;
    base::time_point oldest = base::time_point::max();
    for (const member_view& member : group.members_) {
        const auto observed_at =
            evidence.last_ready(member.host_, group.id_, group.generation_);
        if (!observed_at)
            return member_unseen{member.host_};
        if (now - *observed_at >= lease)
            return member_lapsed{member.host_, now - *observed_at};
        oldest = std::min(oldest, *observed_at);
    }
    return dispatch_allowed{oldest + lease};
}


const char* reason_name(const dispatch_decision& decision) noexcept
{
    static constexpr std::array names{
        "allowed",
        "group_not_serving",
        "member_leaving",
        "member_unseen",
        "member_lapsed",
        "member_contested"};
    static_assert(names.size() == std::variant_size_v<dispatch_decision>);
    return names[decision.index()];
}

} // namespace monsoondock::groups

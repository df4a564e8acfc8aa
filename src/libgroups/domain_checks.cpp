#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/group_lifecycle.hpp>

#include <algorithm>
#include <initializer_list>
#include <map>
#include <set>
#include <string_view>

namespace monsoondock::groups {

namespace {

base::problem make_conflict(std::initializer_list<std::string_view> parts)
{
    base::problem p{base::problem_code::conflict, "", ""};
    for (const std::string_view part : parts)
        p.message_ += part;
    return p;
}


const group_record*
find_group(const domain_record& record, const base::group_id& id)
{
    const auto found = std::find_if(
        record.groups_.begin(),
        record.groups_.end(),
        [&](const group_record& g) { return g.id_ == id; });
    return found == record.groups_.end() ? nullptr : &*found;
}


std::optional<base::problem>
check_members(const group_record& group, std::set<base::host_id>& assigned)
{
    if (group.hosts_.empty())
        return make_conflict({"group ", group.id_.value_, " has no hosts"});
    if (group.hosts_.size() > MAX_GROUP_HOSTS)
        return make_conflict(
            {"group ", group.id_.value_, " has more hosts than allowed"});
    if (group.phase_ == group_phase::retired)
        return std::nullopt;
    for (const base::host_id& host : group.hosts_) {
        if (!assigned.insert(host).second)
            return make_conflict({"host ", host.value_, " is in two groups"});
    }
    return std::nullopt;
}


std::optional<base::problem>
check_term_change(const leader_term& before, const leader_term& after)
{
    if (after.term_ < before.term_)
        return make_conflict({"the leader term decreases"});
    if (after.term_ == before.term_ && !(after == before))
        return make_conflict({"the leader changes within one term"});
    return std::nullopt;
}


std::optional<base::problem>
check_existing_group(const group_record& before, const group_record& after)
{
    const bool same = before.hosts_ == after.hosts_ &&
                      before.generation_ == after.generation_ &&
                      before.deployment_ == after.deployment_;
    if (!same)
        return make_conflict(
            {"group ",
             before.id_.value_,
             " has changed hosts, generation or deployment"});
    if (!may_follow(before.phase_, after.phase_))
        return make_conflict(
            {"group ",
             before.id_.value_,
             " cannot go from ",
             to_string(before.phase_),
             " to ",
             to_string(after.phase_)});
    return std::nullopt;
}


std::optional<base::problem>
check_new_group(const domain_record& before, const group_record& added)
{
    if (added.generation_ < before.next_generation_)
        return make_conflict(
            {"group ",
             added.id_.value_,
             " reuses an already assigned generation"});
    if (added.phase_ != group_phase::forming)
        return make_conflict(
            {"group ",
             added.id_.value_,
             " does not start in the phase forming"});
    return std::nullopt;
}


std::optional<base::problem>
check_group_changes(const domain_record& before, const domain_record& after)
{
    for (const group_record& old : before.groups_) {
        if (find_group(after, old.id_) == nullptr &&
            old.phase_ != group_phase::retired)
            return make_conflict(
                {"group ", old.id_.value_, " is removed before it is retired"});
    }
    for (const group_record& group : after.groups_) {
        const group_record* old = find_group(before, group.id_);
        auto refusal = old != nullptr ? check_existing_group(*old, group)
                                      : check_new_group(before, group);
        if (refusal)
            return refusal;
    }
    return std::nullopt;
}

} // namespace

std::optional<base::problem> check_record(const domain_record& record)
{
    std::set<base::host_id> assigned;
    std::set<base::group_id> ids;
    std::set<base::generation> generations;
    for (const group_record& group : record.groups_) {
        if (!ids.insert(group.id_).second)
            return make_conflict({"two groups have the id ", group.id_.value_});
        if (!generations.insert(group.generation_).second)
            return make_conflict({"two groups have the same generation"});
        if (!(group.generation_ < record.next_generation_))
            return make_conflict(
                {"a group has a generation that is not assigned yet"});
        if (auto refusal = check_members(group, assigned))
            return refusal;
    }
    return std::nullopt;
}


std::optional<base::problem>
check_change(const domain_record& before, const domain_record& after)
{
    if (auto refusal = check_record(after))
        return refusal;
    if (before.domain_ != after.domain_)
        return make_conflict({"the record belongs to another domain"});
    if (after.next_generation_ < before.next_generation_)
        return make_conflict({"the next generation decreases"});
    if (auto refusal = check_term_change(before.leader_, after.leader_))
        return refusal;
    return check_group_changes(before, after);
}


std::optional<base::problem>
check_domains(const std::vector<domain_record>& records)
{
    std::map<base::host_id, base::fabric_domain_id> assigned;
    for (const domain_record& record : records) {
        for (const group_record& group : record.groups_) {
            if (group.phase_ == group_phase::retired)
                continue;
            for (const base::host_id& host : group.hosts_) {
                const auto inserted = assigned.emplace(host, record.domain_);
                if (!inserted.second &&
                    inserted.first->second != record.domain_)
                    return make_conflict(
                        {"host ",
                         host.value_,
                         " is in groups of ",
                         inserted.first->second.value_,
                         " and ",
                         record.domain_.value_});
            }
        }
    }
    return std::nullopt;
}

} // namespace monsoondock::groups

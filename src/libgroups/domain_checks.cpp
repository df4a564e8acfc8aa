#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/group_lifecycle.hpp>

#include <algorithm>
#include <initializer_list>
#include <map>
#include <set>
#include <string_view>

namespace monsoondock::groups {

namespace {

base::problem refused(std::initializer_list<std::string_view> words)
{
    base::problem p{base::problem_code::conflict, "", ""};
    for (const std::string_view word : words)
        p.message_ += word;
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
check_members(const group_record& group, std::set<base::host_id>& taken)
{
    if (group.hosts_.empty())
        return refused({"group ", group.id_.value_, " has no hosts"});
    if (group.hosts_.size() > MAX_GROUP_HOSTS)
        return refused({"group ", group.id_.value_, " has too many hosts"});
    if (group.phase_ == group_phase::retired)
        return std::nullopt;
    for (const base::host_id& host : group.hosts_) {
        if (!taken.insert(host).second)
            return refused({"host ", host.value_, " is in two groups"});
    }
    return std::nullopt;
}


std::optional<base::problem>
check_terms(const leader_term& before, const leader_term& after)
{
    if (after.term_ < before.term_)
        return refused({"the term shrinks"});
    if (after.term_ == before.term_ && !(after == before))
        return refused({"two leaders in one term"});
    return std::nullopt;
}


std::optional<base::problem>
check_kept(const group_record& before, const group_record& after)
{
    const bool same = before.hosts_ == after.hosts_ &&
                      before.generation_ == after.generation_ &&
                      before.deployment_ == after.deployment_;
    if (!same)
        return refused({"group ", before.id_.value_, " was rewritten"});
    if (!may_follow(before.phase_, after.phase_))
        return refused(
            {"group ",
             before.id_.value_,
             " cannot go from ",
             to_string(before.phase_),
             " to ",
             to_string(after.phase_)});
    return std::nullopt;
}


std::optional<base::problem>
check_added(const domain_record& before, const group_record& added)
{
    if (added.generation_ < before.next_)
        return refused({"group ", added.id_.value_, " reuses a generation"});
    if (added.phase_ != group_phase::forming)
        return refused({"group ", added.id_.value_, " does not begin forming"});
    return std::nullopt;
}


std::optional<base::problem>
check_groups(const domain_record& before, const domain_record& after)
{
    for (const group_record& old : before.groups_) {
        if (find_group(after, old.id_) == nullptr &&
            old.phase_ != group_phase::retired)
            return refused({"group ", old.id_.value_, " was dropped"});
    }
    for (const group_record& group : after.groups_) {
        const group_record* old = find_group(before, group.id_);
        auto refusal = old != nullptr ? check_kept(*old, group)
                                      : check_added(before, group);
        if (refusal)
            return refusal;
    }
    return std::nullopt;
}

} // namespace

std::optional<base::problem> check_record(const domain_record& record)
{
    std::set<base::host_id> taken;
    std::set<base::group_id> ids;
    std::set<base::generation> generations;
    for (const group_record& group : record.groups_) {
        if (!ids.insert(group.id_).second)
            return refused({"two groups are named ", group.id_.value_});
        if (!generations.insert(group.generation_).second)
            return refused({"two groups have one generation"});
        if (!(group.generation_ < record.next_))
            return refused({"a group has a generation not handed out yet"});
        if (auto refusal = check_members(group, taken))
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
        return refused({"the record is of another domain"});
    if (after.next_ < before.next_)
        return refused({"the next generation shrinks"});
    if (auto refusal = check_terms(before.leader_, after.leader_))
        return refusal;
    return check_groups(before, after);
}


std::optional<base::problem>
check_domains(const std::vector<domain_record>& records)
{
    std::map<base::host_id, base::fabric_domain_id> taken;
    for (const domain_record& record : records) {
        for (const group_record& group : record.groups_) {
            if (group.phase_ == group_phase::retired)
                continue;
            for (const base::host_id& host : group.hosts_) {
                const auto placed = taken.emplace(host, record.domain_);
                if (!placed.second && placed.first->second != record.domain_)
                    return refused(
                        {"host ",
                         host.value_,
                         " is in groups of ",
                         placed.first->second.value_,
                         " and ",
                         record.domain_.value_});
            }
        }
    }
    return std::nullopt;
}

} // namespace monsoondock::groups

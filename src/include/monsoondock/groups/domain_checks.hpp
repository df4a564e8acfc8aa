#pragma once

#include <monsoondock/base/problem.hpp>
#include <monsoondock/groups/domain_record.hpp>

#include <optional>
#include <vector>

namespace monsoondock::groups {

/// Returns why a record must not be written or used, or nothing. Refused: a
/// host in two groups that are not retired, a group without hosts or with more
/// than MAX_GROUP_HOSTS, two groups of one id or generation, a generation that
/// is not below the next one.
std::optional<base::problem> check_record(const domain_record& record);


/// Returns why after must not replace before, or nothing. Refused: what
/// check_record refuses, a lower term, another leader in the same term, a next
/// generation that shrinks, a new group with a generation handed out before,
/// a group whose hosts or generation changed, a phase that the life cycle
/// does not allow, the removal of a group that is not retired.
std::optional<base::problem>
check_change(const domain_record& before, const domain_record& after);


/// Returns why records of different domains contradict each other, or
/// nothing. Refused: a host in groups of two domains.
std::optional<base::problem>
check_domains(const std::vector<domain_record>& records);

} // namespace monsoondock::groups

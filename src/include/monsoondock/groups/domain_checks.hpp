#pragma once

#include <monsoondock/base/problem.hpp>
#include <monsoondock/groups/domain_record.hpp>

#include <optional>
#include <vector>

namespace monsoondock::groups {

/// Validates a record. Returns the reason for refusing it, or nothing. Refused
/// are: a host in two groups that are not retired, a group without hosts or
/// with more than MAX_GROUP_HOSTS, two groups with the same id or generation,
/// and a generation that is not below the record's next one.
std::optional<base::problem> check_record(const domain_record& record);


/// Validates an update of a record. Returns the reason why after must not
/// replace before, or nothing. Refused are: a record that check_record refuses,
/// a lower term, another leader in the same term, a lower next generation, a
/// new group with a generation that was already assigned, a group whose hosts,
/// generation or deployment changed, a phase change that the life cycle does
/// not allow, and the removal of a group that is not retired.
std::optional<base::problem>
check_change(const domain_record& before, const domain_record& after);


/// Validates the records of several domains against each other. Returns the
/// reason for refusing them, or nothing. Refused is a host that is in groups of
/// two domains; retired groups do not count.
std::optional<base::problem>
check_domains(const std::vector<domain_record>& records);

} // namespace monsoondock::groups

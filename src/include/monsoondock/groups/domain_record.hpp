#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/groups/group_record.hpp>
#include <monsoondock/groups/leader_term.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::groups {

/// The state of one fabric domain that all daemons must agree on: its leader
/// and its groups. It is a single store object, so that one conditional update
/// decides each race over the domain's hosts.
struct domain_record
{
    base::fabric_domain_id domain_;
    leader_term leader_;
    /// True when a daemon suspects that the leader has failed. A live leader
    /// clears it.
    bool challenged_ = false;
    /// Generation to assign to the next group of this domain.
    base::generation next_generation_{1};
    std::vector<group_record> groups_;

    friend bool
    operator==(const domain_record&, const domain_record&) = default;
};


/// Returns the store key of a domain's record.
std::string domain_key(const base::fabric_domain_id& domain);


/// Returns the JSON text of a record.
std::string encode(const domain_record& record);


/// Parses and validates the JSON text of a record. Problem code corrupt: the
/// text is not a record, or check_record refuses it.
base::result<domain_record> decode_domain_record(std::string_view text);

} // namespace monsoondock::groups

#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/groups/group_record.hpp>
#include <monsoondock/groups/leader_term.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::groups {

/// Everything that has to be agreed about one fabric domain. It is one store
/// object, so a single conditional update decides each race over its hosts.
struct domain_record
{
    base::fabric_domain_id domain_;
    leader_term leader_;
    /// True when a daemon doubts that the leader lives; the leader clears it.
    bool challenged_ = false;
    /// Generation that the next group of this domain takes.
    base::generation next_{1};
    std::vector<group_record> groups_;

    friend bool
    operator==(const domain_record&, const domain_record&) = default;
};


/// Returns the store key of a domain's record.
std::string domain_key(const base::fabric_domain_id& domain);


/// Returns the JSON text of a record.
std::string encode(const domain_record& record);


/// Reads a record from JSON text. Problem code corrupt: the text is not a
/// record, or check_record refuses it.
base::result<domain_record> decode_domain_record(std::string_view text);

} // namespace monsoondock::groups

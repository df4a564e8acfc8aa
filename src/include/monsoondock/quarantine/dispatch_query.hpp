#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/crashes/prompt_part.hpp>
#include <monsoondock/quarantine/group_instance.hpp>
#include <monsoondock/quarantine/suspect_fingerprint.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace monsoondock::quarantine {

/// Query whether, and to which groups, a request may be dispatched.
struct dispatch_query
{
    base::request_id request_;
    suspect_fingerprint fingerprint_;
    /// Start of the prompt that groups may have cached; may be empty. Identical
    /// requests must have identical prefixes.
    std::string prefix_;
    /// Parts of the prompt that other requests may share.
    std::vector<crashes::prompt_part> parts_;
    base::workspace_id workspace_;
    base::deployment_id deployment_;
    /// Number of daemons that are known to be alive, this one included.
    std::size_t daemons_ = 1;
    /// Groups that serve the deployment and are not ejected as stragglers.
    std::vector<group_instance> available_groups_;
};

} // namespace monsoondock::quarantine

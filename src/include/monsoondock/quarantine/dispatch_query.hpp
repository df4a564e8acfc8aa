#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/quarantine/group_instance.hpp>
#include <monsoondock/quarantine/suspect_fingerprint.hpp>

#include <string>
#include <vector>

namespace monsoondock::quarantine {

/// A request that is ready to be sent to one of some whole groups.
struct dispatch_query
{
    base::request_id request_;
    suspect_fingerprint fingerprint_;
    /// Start of the prompt that groups may have cached; may be empty. Equal
    /// requests must have equal prefixes.
    std::string prefix_;
    base::workspace_id workspace_;
    base::deployment_id deployment_;
    std::vector<group_instance> available_groups_;
};

} // namespace monsoondock::quarantine

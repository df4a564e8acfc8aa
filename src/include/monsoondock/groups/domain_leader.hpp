#pragma once

#include <monsoondock/groups/contact_table.hpp>
#include <monsoondock/groups/deployment_demand.hpp>
#include <monsoondock/groups/domain_record.hpp>
#include <monsoondock/groups/evidence_table.hpp>
#include <monsoondock/groups/group_timing.hpp>
#include <monsoondock/groups/host_order.hpp>
#include <monsoondock/groups/host_view.hpp>
#include <monsoondock/groups/leadership.hpp>
#include <monsoondock/groups/retirement.hpp>

#include <map>
#include <optional>
#include <vector>

namespace monsoondock::groups {

/// What the leader of a domain knows when it decides.
struct leader_input
{
    const domain_record& record_;
    /// Listed hosts of this domain.
    const std::vector<host_view>& hosts_;
    const std::vector<deployment_demand>& demand_;
    std::size_t spare_hosts_ = 0;
    const evidence_table& evidence_;
    const contact_table& contacts_;
    base::time_point now_;
};


/// What the leader of a domain is to do next.
struct leader_step
{
    /// Record to write, conditional on the version of the one read.
    std::optional<domain_record> write_;
    /// Orders to send now; they are idempotent and sent until obeyed.
    std::vector<host_order> orders_;
    /// Hosts whose own status the leader needs.
    std::vector<base::host_id> probes_;
};


/// What a leader remembers of one group between steps.
struct group_watch
{
    group_phase phase_ = group_phase::forming;
    /// When this leader first found the group in this phase.
    base::time_point since_;
    /// True when the retirement must not wait for running requests.
    bool urgent_ = false;
    retirement retirement_;
};


/// The memory of one daemon as a domain's leader during one term.
struct leader_memory
{
    std::map<base::group_id, group_watch> groups_;
};


/// Decides the next step of a domain's leader. Does nothing unless lead may
/// act now. A write comes without orders for the groups that it changes, so
/// an order always follows the accepted write that it carries out.
leader_step plan_step(
    leader_memory& memory,
    const leadership& lead,
    const leader_input& input,
    const group_timing& timing);

} // namespace monsoondock::groups

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

/// Input of one decision of a domain's leader.
struct leader_input
{
    const domain_record& record_;
    /// Hosts of this domain in the platform's list.
    const std::vector<host_view>& hosts_;
    const std::vector<deployment_demand>& demand_;
    /// Hosts to leave free when groups above the minimum are formed.
    std::size_t spare_hosts_ = 0;
    const evidence_table& evidence_;
    const contact_table& contacts_;
    base::time_point now_;
};


/// Actions that one decision of a domain's leader calls for.
struct leader_step
{
    /// Record to write, conditional on the version of the one read.
    std::optional<domain_record> write_;
    /// Orders to send now. Orders are idempotent and repeated at each step
    /// until a report shows that they were carried out.
    std::vector<host_order> orders_;
    /// Hosts that the leader must probe itself.
    std::vector<base::host_id> probes_;
};


/// State that a leader keeps of one group between steps.
struct tracked_group
{
    group_phase phase_ = group_phase::forming;
    /// When this leader first found the group in this phase.
    base::time_point since_;
    /// True when the retirement must not wait for running requests because a
    /// member is lost.
    bool skip_drain_ = false;
    retirement retirement_;
};


/// State that a domain's leader keeps in memory during one term.
struct term_state
{
    std::map<base::group_id, tracked_group> groups_;
};


/// Decides the next step of a domain's leader. The step is empty unless may_act
/// holds for lead. A step has no orders for a group that its write changes, so
/// that an order is sent only after the write that it depends on was accepted.
leader_step plan_step(
    term_state& state,
    const leadership& lead,
    const leader_input& input,
    const group_timing& timing);

} // namespace monsoondock::groups

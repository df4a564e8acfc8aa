#include "explain_page.hpp"

#include <monsoondock/base/query_parameter.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace json = boost::json;

namespace {

json::object load_of(const traffic::upstream_load& load)
{
    return {
        {"in_flight", load.in_flight_.load()},
        {"reported_running", load.reported_running_.load()},
        {"reported_queued", load.reported_queued_.load()},
        {"estimated", traffic::estimate_load(load)}};
}


json::object explain_group(const traffic::group_row& row, base::time_point now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        row.fresh_until_ - now);
    return {
        {"group", row.group_.value_},
        {"data_centre", row.data_centre_.value_},
        {"generation", row.generation_.value_},
        {"may_dispatch", traffic::may_dispatch(row, now)},
        {"suspect", row.load_->suspect_.load()},
        {"evidence_left_ms", left.count()},
        {"load", load_of(*row.load_)}};
}


json::array explain_groups(
    const traffic::routing_snapshot& snapshot,
    std::string_view deployment,
    base::time_point now)
{
    json::array result;
    for (const traffic::group_row& row : snapshot.groups_) {
        if (row.deployment_.value_ == deployment)
            result.push_back(explain_group(row, now));
    }
    return result;
}


json::array explain_hosts(
    const traffic::routing_snapshot& snapshot, std::string_view deployment)
{
    json::array result;
    for (const traffic::service_row& row : snapshot.services_) {
        if (row.deployment_.value_ != deployment)
            continue;
        for (const traffic::service_host& host : row.hosts_)
            result.push_back(
                {{"host", host.host_.value_},
                 {"data_centre", host.data_centre_.value_},
                 {"load", load_of(*host.load_)}});
    }
    return result;
}


bool knows_workspace(
    const traffic::routing_snapshot& snapshot, std::string_view workspace)
{
    const auto& all = snapshot.workspaces_;
    return std::any_of(all.begin(), all.end(), [&](const auto& row) {
        return row.workspace_.value_ == workspace;
    });
}


bool knows_deployment(
    const traffic::routing_snapshot& snapshot, std::string_view deployment)
{
    const auto& models = snapshot.models_;
    const auto& services = snapshot.services_;
    return std::any_of(
               models.begin(),
               models.end(),
               [&](const auto& m) { return m.value_ == deployment; }) ||
           std::any_of(services.begin(), services.end(), [&](const auto& s) {
               return s.deployment_.value_ == deployment;
           });
}

} // namespace

std::string explain_page(
    const traffic::routing_snapshot& snapshot,
    std::string_view target,
    base::time_point now)
{
    const std::string_view workspace =
        base::query_parameter(target, "workspace");
    const std::string_view deployment =
        base::query_parameter(target, "deployment");
    return json::serialize(json::object{
        {"ready", snapshot.ready_},
        {"draining", snapshot.draining_},
        {"settings_revision", snapshot.settings_revision_},
        {"workspace", workspace},
        {"workspace_known", knows_workspace(snapshot, workspace)},
        {"deployment", deployment},
        {"deployment_known", knows_deployment(snapshot, deployment)},
        {"groups", explain_groups(snapshot, deployment, now)},
        {"hosts", explain_hosts(snapshot, deployment)}});
}

} // namespace monsoondock::daemon

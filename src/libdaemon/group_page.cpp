#include "group_page.hpp"

#include <monsoondock/groups/may_dispatch.hpp>

#include <boost/json.hpp>

namespace monsoondock::daemon {

namespace json = boost::json;

namespace {

json::object host_json(
    const group_state& state,
    const groups::group_record& group,
    const groups::member_view& member,
    base::time_point now)
{
    json::object result{
        {"host", member.host_.value_},
        {"listed", member.listed_},
        {"leaving", member.leaving_},
        {"evidence_age_ms", nullptr}};
    const auto last_ready_at =
        state.evidence_.last_ready(member.host_, group.id_, group.generation_);
    if (last_ready_at)
        result["evidence_age_ms"] =
            std::chrono::ceil<std::chrono::milliseconds>(now - *last_ready_at)
                .count();
    return result;
}


json::object group_json(
    group_state& state, const groups::group_record& group, base::time_point now)
{
    const groups::group_view view = view_of(state, group);
    const auto decision = groups::may_dispatch(
        view, state.evidence_, now, lease_of(state, group.deployment_));
    json::array hosts;
    for (const groups::member_view& member : view.members_)
        hosts.emplace_back(host_json(state, group, member, now));
    return json::object{
        {"id", group.id_.value_},
        {"deployment", group.deployment_.value_},
        {"generation", group.generation_.value_},
        {"phase", groups::to_string(group.phase_)},
        {"dispatch", groups::reason_name(decision)},
        {"hosts", std::move(hosts)}};
}


bool leads(
    const group_state& state,
    const base::fabric_domain_id& domain,
    base::time_point now)
{
    const auto found = state.own_domains_.find(domain);
    return found != state.own_domains_.end() &&
           groups::may_act(found->second.control_.leadership_, now);
}

} // namespace

std::string group_page(group_state& state, base::time_point now)
{
    json::array domains;
    for (const auto& [domain, known] : state.domains_) {
        json::array result;
        for (const groups::group_record& group : known.record_.groups_)
            result.emplace_back(group_json(state, group, now));
        domains.emplace_back(json::object{
            {"domain", domain.value_},
            {"term", known.record_.leader_.term_},
            {"leader", known.record_.leader_.daemon_.value_},
            {"leads_here", leads(state, domain, now)},
            {"groups", std::move(result)}});
    }
    const auto made_at = std::chrono::floor<std::chrono::milliseconds>(now);
    return json::serialize(json::object{
        {"made_at_ms", made_at.time_since_epoch().count()},
        {"domains", std::move(domains)}});
}

} // namespace monsoondock::daemon

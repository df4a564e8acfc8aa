#include "group_rows.hpp"

#include "group_page.hpp"

#include <monsoondock/groups/may_dispatch.hpp>

namespace monsoondock::daemon {

namespace {

constexpr std::chrono::milliseconds PAGE_INTERVAL{500};


std::shared_ptr<traffic::upstream_load>
load_of(group_state& state, const base::group_id& group)
{
    auto& load = state.loads_[group];
    if (load == nullptr)
        load = std::make_shared<traffic::upstream_load>();
    return load;
}


std::optional<traffic::group_row> make_row(
    group_state& state, const groups::group_record& group, base::time_point now)
{
    const auto decision = groups::may_dispatch(
        view_of(state, group),
        state.evidence_,
        now,
        lease_of(state, group.deployment_));
    const auto* allowed = std::get_if<groups::dispatch_allowed>(&decision);
    const base::host_id& head = group.hosts_.front();
    const auto address = address_of(state.control_, head);
    if (allowed == nullptr || !address)
        return std::nullopt;
    return traffic::group_row{
        group.id_,
        group.deployment_,
        state.control_.hosts_[head].data_centre_,
        group.generation_,
        *address,
        allowed->until_,
        load_of(state, group.id_)};
}


std::vector<traffic::group_row>
make_rows(group_state& state, base::time_point now)
{
    std::vector<traffic::group_row> rows;
    for (const auto& [domain, known] : state.domains_) {
        for (const groups::group_record& group : known.record_.groups_) {
            if (auto row = make_row(state, group, now))
                rows.push_back(std::move(*row));
        }
    }
    return rows;
}


bool same_groups(
    const std::vector<traffic::group_row>& a,
    const std::vector<traffic::group_row>& b)
{
    return std::equal(
        a.begin(),
        a.end(),
        b.begin(),
        b.end(),
        [](const traffic::group_row& x, const traffic::group_row& y) {
            return x.group_ == y.group_ && x.head_ == y.head_;
        });
}


// A row is renewed when less than half of its lease is left.
bool needs_renewal(
    group_state& state,
    const std::vector<traffic::group_row>& rows,
    base::time_point now)
{
    return std::any_of(rows.begin(), rows.end(), [&](const auto& row) {
        return row.fresh_until_ - now < lease_of(state, row.deployment_) / 2;
    });
}


/// Invalidates the evidence for the head hosts whose requests failed, and
/// returns their loads. The caller clears the suspect mark of a load after the
/// group is no longer published.
std::vector<std::shared_ptr<traffic::upstream_load>>
invalidate_failed_heads(group_state& state, base::time_point now)
{
    std::vector<std::shared_ptr<traffic::upstream_load>> failed_loads;
    for (const auto& [domain, known] : state.domains_) {
        for (const groups::group_record& group : known.record_.groups_) {
            const auto found = state.loads_.find(group.id_);
            if (found == state.loads_.end() || !found->second->suspect_)
                continue;
            state.evidence_.invalidate_host(group.hosts_.front(), now);
            failed_loads.push_back(found->second);
        }
    }
    return failed_loads;
}


void erase_unused_loads(group_state& state)
{
    std::set<base::group_id> known_groups;
    for (const auto& [domain, known] : state.domains_) {
        for (const groups::group_record& group : known.record_.groups_)
            known_groups.insert(group.id_);
    }
    std::erase_if(state.loads_, [&](const auto& entry) {
        return !known_groups.contains(entry.first);
    });
}

} // namespace

void update_groups(group_state& state)
{
    const base::time_point now = base::boot_clock::now();
    const auto failed_loads = invalidate_failed_heads(state, now);
    auto rows = make_rows(state, now);
    auto& published = state.control_.groups_;
    if (!same_groups(rows, published) || needs_renewal(state, published, now)) {
        published = std::move(rows);
        publish_snapshot(state.control_);
    }
    for (const auto& load : failed_loads)
        load->suspect_ = false;
    erase_unused_loads(state);
    if (now - state.page_published_at_ < PAGE_INTERVAL)
        return;
    state.page_published_at_ = now;
    state.control_.admin_pages_.publish("groups", group_page(state, now));
}

} // namespace monsoondock::daemon

#include "donations.hpp"

#include "candidates.hpp"
#include "supply.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

// Groups that are closed for one group.
constexpr std::size_t most_donors = 2;
// A group that closes for its hosts serves nobody for about this time.
constexpr std::chrono::milliseconds closing_time{1500};
// A donation that has led to no group by now has failed.
constexpr std::chrono::milliseconds longest_donation{6000};
// Gains below this are not worth the requests that a close disturbs.
constexpr double least_value = 5;
// Two groups at once are closed only for a model that is clearly short.
constexpr double least_value_of_two = 40;


/// Groups that could be taken apart for a group of another model.
struct donation
{
    std::vector<formation*> donors_;
    const catalog::model* receiver_ = nullptr;
    double value_ = 0;
};


std::size_t members_with_weights(
    const planning& p, const formation& f, const catalog::model& m)
{
    std::size_t count = 0;
    for (const base::host_id& id : f.members_) {
        const fleet::host_info* h = find_host(p, id);
        count += h != nullptr && has_weights(p, *h, m) ? 1 : 0;
    }
    return count;
}


// Returns as few groups of the domain as complete a group of the model, or
// none when they can't.
std::vector<formation*> choose_donors(
    planning& p,
    const base::fabric_domain_id& domain,
    std::size_t missing,
    const catalog::model& m)
{
    std::vector<std::pair<std::size_t, formation*>> able;
    for (auto& [key, f] : p.s_.formations_) {
        if (f.domain_ != domain || f.model_ == m.name_ ||
            f.phase_ != formation_phase::serving)
            continue;
        const std::size_t usable = members_with_weights(p, f, m);
        if (usable > 0)
            able.emplace_back(usable, &f);
    }
    std::stable_sort(able.begin(), able.end(), [](auto& a, auto& b) {
        return a.first > b.first;
    });
    std::vector<formation*> donors;
    for (const auto& [usable, f] : able) {
        if (missing == 0 || donors.size() == most_donors)
            break;
        donors.push_back(f);
        missing -= std::min(missing, usable);
    }
    return missing == 0 ? donors : std::vector<formation*>();
}


double loss_of(const planning& p, const std::vector<formation*>& donors)
{
    const catalog::model* given = find_model(p, donors.front()->model_);
    double hosts = 0;
    for (const formation* f : donors)
        hosts += double(f->members_.size());
    return given == nullptr ? 0 : -gain(p, *given, -hosts);
}


// What the free hosts are worth without the donors.
double value_alone(
    const planning& p,
    const base::fabric_domain_id& domain,
    const host_list& hosts)
{
    double best = 0;
    for (const catalog::model& m : p.input_.engine_->models_) {
        const auto c = best_of_domain(p, domain, hosts, m);
        if (c)
            best = std::max(
                best, gain(p, m, m.group_size_) * seconds_left(p, c->time_));
    }
    return best;
}


void consider(
    planning& p,
    const base::fabric_domain_id& domain,
    const host_list& hosts,
    const catalog::model& m,
    donation& best)
{
    std::size_t missing = m.group_size_;
    for (const fleet::host_info* h : hosts)
        missing -= missing > 0 && has_weights(p, *h, m) ? 1 : 0;
    if (missing == 0)
        return;
    auto donors = choose_donors(p, domain, missing, m);
    if (donors.empty())
        return;
    const double gained = gain(p, m, m.group_size_) *
                          seconds_left(p, closing_time + m.warm_join_time_);
    const double lost = loss_of(p, donors) * seconds_left(p, {});
    const double value = gained - lost - value_alone(p, domain, hosts);
    const double least = donors.size() > 1 ? least_value_of_two : least_value;
    if (value > std::max(best.value_, least))
        best = {std::move(donors), &m, value};
}

// Hosts of a group that is given up are free in a moment.
void add_survivors(const planning& p, const formation& f, host_list& hosts)
{
    for (std::size_t i = 0; i < f.members_.size(); ++i) {
        const base::host_id& id = f.members_[i];
        if (is_usable(p, id) &&
            !has_left(p.s_, id, f.process_start_ms_[i], f.key_))
            hosts.push_back(find_host(p, id));
    }
}


// A donation is over when the receiving group forms, or has failed.
void forget_ended(planning& p)
{
    std::erase_if(p.s_.donations_, [&](const auto& d) {
        if (p.input_.now_ - d.since_ > longest_donation)
            return true;
        return std::any_of(
            p.s_.formations_.begin(),
            p.s_.formations_.end(),
            [&](const auto& e) {
                return e.second.domain_ == d.domain_ &&
                       e.second.model_ == d.model_ &&
                       e.second.phase_ == formation_phase::joining;
            });
    });
}

} // namespace

bool is_giving_up(const planning& p, const base::fabric_domain_id& domain)
{
    return std::any_of(
        p.s_.formations_.begin(), p.s_.formations_.end(), [&](const auto& e) {
            return e.second.domain_ == domain &&
                   e.second.phase_ == formation_phase::closing;
        });
}


bool is_kept_for_other(
    const planning& p,
    const base::fabric_domain_id& domain,
    const catalog::model& m)
{
    return std::any_of(
        p.s_.donations_.begin(), p.s_.donations_.end(), [&](const auto& d) {
            return d.domain_ == domain && d.model_ != m.name_;
        });
}


void take_from_donors(planning& p, const free_by_domain& free)
{
    if (p.input_.before_traffic_)
        return;
    forget_ended(p);
    free_by_domain domains = free;
    for (const auto& [key, f] : p.s_.formations_) {
        host_list& hosts = domains[f.domain_];
        if (f.phase_ == formation_phase::dissolving)
            add_survivors(p, f, hosts);
    }
    donation best;
    for (const auto& [domain, hosts] : domains) {
        if (is_giving_up(p, domain))
            continue;
        for (const catalog::model& m : p.input_.engine_->models_)
            consider(p, domain, hosts, m, best);
    }
    if (!best.donors_.empty())
        p.s_.donations_.push_back(
            {best.donors_.front()->domain_,
             best.receiver_->name_,
             p.input_.now_});
    for (formation* donor : best.donors_) {
        base::event_line("group_closing")
            .field("group", donor->key_.name_)
            .field("reason", "hosts_for_other_model")
            .field("model", best.receiver_->name_)
            .field("value", best.value_);
        set_phase(p, *donor, formation_phase::closing);
        tell(p, *donor, donor->members_.front(), order_kind::close);
    }
}

} // namespace monsoondock::placement::pvt

#include "candidates.hpp"

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

std::string last_model(const planning& p, const base::host_id& id)
{
    const auto last = p.s_.last_models_.find(id);
    return last == p.s_.last_models_.end() ? std::string()
                                           : last->second.model_;
}

} // namespace

host_readiness readiness_of(
    const planning& p, const fleet::host_info& host, const catalog::model& m)
{
    host_readiness r;
    r.source_ = find_weights(host, last_model(p, host.id_), m);
    r.time_ = join_time(r.source_, m);
    if (r.source_ != weights_source::weight_store)
        return r;
    const auto told = p.s_.staging_.find(host.id_);
    if (told == p.s_.staging_.end() || told->second.model_ != m.name_)
        return r;
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
        p.input_.now_ - told->second.told_at_);
    r.loading_ = passed < 2 * m.load_time_;
    if (r.loading_)
        r.time_ = m.warm_join_time_ +
                  std::max(std::chrono::milliseconds(0), m.load_time_ - passed);
    return r;
}


bool has_weights(
    const planning& p, const fleet::host_info& host, const catalog::model& m)
{
    return find_weights(host, last_model(p, host.id_), m) !=
           weights_source::weight_store;
}


std::optional<candidate> best_of_domain(
    const planning& p,
    const base::fabric_domain_id& domain,
    host_list hosts,
    const catalog::model& m)
{
    if (hosts.size() < m.group_size_)
        return std::nullopt;
    const auto time = [&](const fleet::host_info* h) {
        return readiness_of(p, *h, m).time_;
    };
    std::stable_sort(hosts.begin(), hosts.end(), [&](auto* a, auto* b) {
        return time(a) < time(b);
    });
    hosts.resize(m.group_size_);
    candidate c{domain, hosts, time(hosts.back()), 0};
    for (const fleet::host_info* h : hosts)
        c.loads_ += has_weights(p, *h, m) ? 0 : 1;
    return c;
}


std::optional<candidate> best_candidate(
    const planning& p, const free_by_domain& free, const catalog::model& m)
{
    std::optional<candidate> best;
    std::size_t most_free = 0;
    for (const auto& [domain, hosts] : free) {
        auto c = best_of_domain(p, domain, hosts, m);
        if (!c)
            continue;
        const bool better =
            !best || c->time_ < best->time_ ||
            (c->time_ == best->time_ && hosts.size() > most_free);
        if (!better)
            continue;
        best = std::move(c);
        most_free = hosts.size();
    }
    return best;
}

} // namespace monsoondock::placement::pvt

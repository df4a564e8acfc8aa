#include "admission_control.hpp"

#include "upstream_choice.hpp"

#include <monsoondock/relay/availability.hpp>

namespace monsoondock::relay::pvt {

namespace {

// Peers whose loads change report them several times within this time, and
// those of a large cluster repeat them every second.
constexpr std::chrono::milliseconds max_report_age{2500};


bool are_reports_missing(const proxy_thread& t, base::time_point now)
{
    return t.view_->daemons_ > 1 && now - t.peer_loads_at_ > max_report_age;
}


// Returns how long an upstream takes for its requests, if that is known.
std::optional<admission::service_times>
find_times(const proxy_thread& t, const exchange& e, const upstream& u)
{
    const auto* deployment =
        catalog::find_deployment(*e.view_->catalog_, e.deployment_);
    if (deployment == nullptr)
        return std::nullopt;
    if (deployment->engine_)
        return admission::times_of_engine(
            *deployment->engine_, u.time_factor_, u.slots_);
    const auto found = t.call_times_.find(e.deployment_);
    if (found == t.call_times_.end())
        return std::nullopt;
    return admission::times_of_plain_service(found->second.average(), u.slots_);
}


// Returns the loads of the upstreams that may get the request; nothing when the
// times of one of them are not known.
std::optional<admission::upstream_loads> find_loads(
    const proxy_thread& t,
    const exchange& e,
    bool reports_missing,
    base::time_point now)
{
    admission::upstream_loads result;
    result.daemons_ = t.view_->daemons_;
    result.report_age_ = t.view_->load_report_age_;
    const auto found = t.view_->upstreams_.find(e.deployment_);
    if (found == t.view_->upstreams_.end())
        return result;
    static const upstream_state unknown;
    for (const upstream& u : found->second) {
        const upstream_state* known = t.upstream_table_.find(u.host_);
        const upstream_state& s = known != nullptr ? *known : unknown;
        if (u.model_ != e.model_ || s.unhealthy_until_ > now ||
            usable_share(s, now) <= 0)
            continue;
        const auto times = find_times(t, e, u);
        if (!times)
            return std::nullopt;
        const unsigned load = reports_missing ? s.in_flight_ : total_load(s);
        result.upstreams_.push_back({*times, double(load)});
    }
    return result;
}


admission::incoming_request describe(
    proxy_thread& t,
    const exchange& e,
    std::chrono::milliseconds longest_return)
{
    admission::incoming_request r;
    r.workspace_ = e.workspace_;
    r.route_ = e.route_->name_;
    r.fingerprint_ = e.fingerprint_;
    r.priority_ = e.priority_;
    r.prompt_tokens_ = e.prompt_tokens_;
    r.target_ = e.route_->target_latency_;
    r.deadline_ = e.deadline_;
    r.longest_return_ = longest_return;
    r.random_fraction_ = random_fraction(t);
    return r;
}


std::optional<admission_refusal>
check_queue(const proxy_thread& t, const exchange& e)
{
    if (!is_overloaded(t, e))
        return std::nullopt;
    return admission_refusal{};
}

} // namespace

std::optional<admission_refusal> check_admission(
    proxy_thread& t,
    const exchange& e,
    std::chrono::milliseconds longest_return)
{
    if (t.config_.admission_ == admission_rule::queue ||
        e.route_->target_latency_.count() <= 0)
        return check_queue(t, e);
    // Another daemon has sent the request, which may have run.
    if (e.possible_runs_ > 0 || is_for_detour(t, e))
        return std::nullopt;
    const base::time_point now = base::boot_clock::now();
    const bool reports_missing = are_reports_missing(t, now);
    const auto loads = find_loads(t, e, reports_missing, now);
    if (!loads)
        return check_queue(t, e);
    if (loads->upstreams_.empty())
        return std::nullopt;
    const admission::decision d =
        t.admissions_[{e.deployment_, e.model_}].decide(
            describe(t, e, longest_return), *loads, now);
    const auto predicted =
        std::chrono::duration_cast<std::chrono::nanoseconds>(d.predicted_);
    if (d.refusal_)
        return admission_refusal{
            admission::to_string(*d.refusal_), predicted, d.retry_after_};
    if (reports_missing && is_overloaded(t, e))
        return admission_refusal{
            admission::to_string(admission::refusal_reason::queue_full),
            predicted,
            {}};
    return std::nullopt;
}


void record_call_time(
    proxy_thread& t,
    const exchange& e,
    const upstream& target,
    std::chrono::nanoseconds call)
{
    if (!e.model_.empty() || t.config_.admission_ == admission_rule::queue)
        return;
    const upstream_state* s = t.upstream_table_.find(target.host_);
    if (s != nullptr && total_load(*s) < target.slots_)
        t.call_times_[e.deployment_].add(call);
}

} // namespace monsoondock::relay::pvt

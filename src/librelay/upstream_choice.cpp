#include "upstream_choice.hpp"

#include "upstream_pace.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/relay/choose_upstream.hpp>

namespace monsoondock::relay::pvt {

namespace {

// Maximum number of requests that wait for a slot of a group. This many still
// start within the latency target of callers.
constexpr long max_queued_requests = 3;


// Estimates the requests that all daemons send within the age of the load
// reports from the rate of this daemon. Callers are distributed evenly over the
// daemons.
double unreported_requests(const proxy_thread& t, const exchange& e)
{
    const auto found = t.arrival_meters_.find({e.deployment_, e.model_});
    if (found == t.arrival_meters_.end())
        return 0;
    return found->second.rate_per_second(base::boot_clock::now()) *
           t.view_->daemons_ *
           std::chrono::duration<double>(t.view_->load_report_age_).count();
}


const std::vector<upstream>*
upstreams_of(const proxy_thread& t, const exchange& e)
{
    const auto found = t.view_->upstreams_.find(e.deployment_);
    return found == t.view_->upstreams_.end() ? nullptr : &found->second;
}


void log_refusal(exchange& e, std::string_view reason)
{
    if (std::exchange(e.refusal_logged_, true))
        return;
    base::event_line("retry_refused")
        .field("request", e.id_)
        .field("deployment", e.deployment_)
        .field("reason", reason);
}

// A helper that does not accept the connection is replaced by another one.
constexpr std::size_t max_tried_helpers = 2;


bool may_detour(const proxy_thread& t, const exchange& e)
{
    return !e.is_detour_ && !e.detour_sent_ &&
           e.tried_helpers_.size() < max_tried_helpers &&
           !t.links_->helpers_.helpers_.empty();
}


// Returns true when the upstreams that can serve the request, or those of them
// that have room, are behind cut links.
bool needs_detour(const proxy_thread& t, const exchange& e)
{
    const auto* upstreams = upstreams_of(t, e);
    if (upstreams == nullptr)
        return false;
    const auto reachable = max_free_slots(
        *upstreams,
        t.upstream_table_,
        e.model_,
        e.tried_,
        base::boot_clock::now());
    if (reachable.value_or(0) > 0)
        return false;
    const auto behind_cuts =
        max_free_slots_behind_cuts(*upstreams, t.upstream_table_, e.model_);
    return behind_cuts && (!reachable || *behind_cuts > 0);
}

} // namespace

std::optional<paths::helper> choose_detour(proxy_thread& t, const exchange& e)
{
    const paths::helper_list& list = t.links_->helpers_;
    if (!is_for_detour(t, e))
        return std::nullopt;
    const auto i = paths::choose_helper(
        list, t.config_.data_centre_, e.tried_helpers_, random_fraction(t));
    if (!i)
        return std::nullopt;
    return list.helpers_[*i];
}


std::optional<upstream> choose(proxy_thread& t, const exchange& e)
{
    const auto* upstreams = upstreams_of(t, e);
    if (upstreams == nullptr)
        return std::nullopt;
    if (auto probed = choose_probed_upstream(t, e, *upstreams))
        return probed;
    const choice_request request{
        e.model_,
        t.config_.data_centre_,
        e.tried_,
        base::boot_clock::now(),
        random_fraction(t),
        unreported_requests(t, e),
        t.config_.learned_capacity_};
    const auto i = choose_upstream(*upstreams, t.upstream_table_, request);
    if (!i)
        return std::nullopt;
    return (*upstreams)[*i];
}


bool is_for_detour(const proxy_thread& t, const exchange& e)
{
    return may_detour(t, e) && needs_detour(t, e);
}


bool is_overloaded(const proxy_thread& t, const exchange& e)
{
    const auto* upstreams = upstreams_of(t, e);
    if (upstreams == nullptr || e.model_.empty() || is_for_detour(t, e))
        return false;
    const auto most = max_free_slots(
        *upstreams, t.upstream_table_, e.model_, {}, base::boot_clock::now());
    return most && *most <= -max_queued_requests;
}


bool take_retry(proxy_thread& t, exchange& e, base::time_point now)
{
    if (std::exchange(e.retry_granted_, false))
        return true;
    const bool taken =
        retry_limiter_of(t, e.deployment_).take_retry(t.view_->daemons_, now);
    if (!taken)
        log_refusal(e, "retry_limit");
    return taken;
}


bool grant_replacement(proxy_thread& t, exchange& e, base::time_point now)
{
    if (!may_run_again(e) || e.sends_ >= max_sends)
        return false;
    const auto* upstreams = upstreams_of(t, e);
    if (upstreams == nullptr)
        return false;
    const auto room =
        max_free_slots(*upstreams, t.upstream_table_, e.model_, e.tried_, now);
    if (room.value_or(0) <= 0 && !is_for_detour(t, e)) {
        log_refusal(e, "no_upstream");
        return false;
    }
    e.retry_granted_ = take_retry(t, e, now);
    return e.retry_granted_;
}

} // namespace monsoondock::relay::pvt

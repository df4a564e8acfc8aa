#include "forward_records.hpp"

#include "crash_records.hpp"

#include <monsoondock/base/event_line.hpp>

namespace monsoondock::relay::pvt {

namespace {

// Returns true when the response, or the first event of a stream, met the
// latency target of the route.
bool is_in_time(const forward_context& c, base::time_point end)
{
    const bool streamed = c.state_.first_response_at_ != base::time_point();
    const auto taken =
        (streamed ? c.state_.first_response_at_ : end) - c.e_.received_;
    return taken <= c.e_.route_->target_latency_;
}


void log_request(const forward_context& c)
{
    const exchange& e = c.e_;
    const base::time_point now = base::boot_clock::now();
    base::event_line line("request");
    line.field("request", e.id_)
        .field("route", e.route_->name_)
        .field("workspace", e.workspace_)
        .field("model", e.model_)
        .field("outcome", c.outcome_.name_)
        .field("status", c.outcome_.status_)
        .field("host", e.host_)
        .field("sends", e.sends_)
        .field("framing", to_string(c.state_.framing_))
        .field("end", to_string(c.state_.connection_end_))
        .field("end_source", to_string(c.state_.connection_end_.source_))
        .field("body_bytes", c.state_.body_bytes_)
        .field("partial_bytes", c.state_.partial_event_bytes_)
        .field("events", c.state_.splitter_.events_)
        .field("left_out", left_out(c.state_.splitter_))
        .field("catalog", e.view_->catalog_->version_)
        .field("in_time", is_in_time(c, now) ? "yes" : "no")
        .field("total", now - e.received_);
    if (c.refusal_ && !c.refusal_->reason_.empty())
        line.field("reason", c.refusal_->reason_)
            .field("predicted", c.refusal_->predicted_)
            .field("target", e.route_->target_latency_);
    if (e.detour_sent_)
        line.field("detour_to", e.host_);
    if (e.is_detour_)
        line.field("detour_from", e.detour_from_);
    if (c.state_.first_response_at_ != base::time_point())
        line.field("first", c.state_.first_response_at_ - e.received_);
}


void record_metrics(forward_context& c)
{
    const metrics::label labels = label_of(c.e_);
    c.t_.metrics_.add(metrics::counter::requests, labels);
    if (c.refusal_ && !c.refusal_->reason_.empty())
        c.t_.metrics_.add(
            metrics::counter::admission_refusals,
            {labels.workspace_, std::string(c.refusal_->reason_)});
    if (c.e_.sends_ > 1)
        c.t_.metrics_.add(metrics::counter::retries, labels, c.e_.sends_ - 1);
    if (c.state_.first_response_at_ != base::time_point())
        c.t_.metrics_.observe(
            metrics::latency::first_token,
            labels,
            c.state_.first_response_at_ - c.e_.received_);
}

} // namespace

metrics::label label_of(const exchange& e)
{
    return {e.workspace_.empty() ? "none" : e.workspace_, e.route_->name_};
}


void record_demand(forward_context& c)
{
    c.t_.arrival_meters_[{c.e_.deployment_, c.e_.model_}].add(
        base::boot_clock::now());
    // The daemon that passed a request on reports its demand.
    if (c.e_.model_.empty() || c.e_.is_detour_)
        return;
    model_demand& demand = c.t_.demand_[{c.e_.deployment_, c.e_.model_}];
    ++demand.requests_;
    demand.prompt_tokens_ += c.e_.prompt_tokens_;
    demand.answer_tokens_ += c.e_.answer_tokens_;
}


void log_try(const forward_context& c, const upstream& u, try_outcome outcome)
{
    base::event_line line("try");
    line.field("request", c.e_.id_)
        .field("host", u.host_)
        .field("group", u.group_)
        .field("send", c.e_.sends_)
        .field("outcome", to_string(outcome))
        .field("stop_reason", to_string(c.e_.stop_reason_))
        .field("reason", c.state_.failure_)
        .field("events", c.state_.splitter_.events_)
        .field("left_out", left_out(c.state_.splitter_))
        .field("framing", to_string(c.state_.framing_))
        .field("end", to_string(c.state_.connection_end_))
        .field("end_source", to_string(c.state_.connection_end_.source_))
        .field("body_bytes", c.state_.body_bytes_)
        .field("partial_bytes", c.state_.partial_event_bytes_);
    if (outcome != try_outcome::lost)
        return;
    line.field("response_age", response_age(c.state_))
        .field("parts", crashes::to_text(c.e_.prompt_parts_))
        .field("fingerprint", crashes::to_text({c.e_.fingerprint_}))
        .field(
            "crashes",
            c.t_.crash_tracker_.crash_count(
                c.e_.fingerprint_, base::boot_clock::now()));
}


void record_detour(forward_context& c, const paths::helper& helper)
{
    base::event_line("detour")
        .field("request", c.e_.id_)
        .field("helper", helper.daemon_)
        .field("data_centre", helper.data_centre_)
        .field("reason", "links_cut")
        .field("cut_links", c.t_.links_->cut_hosts_.size())
        .field("sends", c.e_.sends_);
    c.t_.metrics_.add(metrics::counter::detours, label_of(c.e_));
}


void log_detour_end(
    const forward_context& c, const paths::helper& helper, try_outcome outcome)
{
    base::event_line("detour_end")
        .field("request", c.e_.id_)
        .field("helper", helper.daemon_)
        .field("outcome", to_string(outcome))
        .field("stop_reason", to_string(c.e_.stop_reason_))
        .field("reason", c.state_.failure_)
        .field("events", c.state_.splitter_.events_);
}


void record_request(forward_context& c)
{
    log_request(c);
    record_metrics(c);
}

} // namespace monsoondock::relay::pvt

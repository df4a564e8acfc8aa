#include "exchange.hpp"

namespace monsoondock::relay::pvt {

void stop(exchange& e, stop_reason reason)
{
    const bool was_rerouted = e.stop_reason_ == stop_reason::rerouted;
    if (e.stop_reason_ != stop_reason::none && !was_rerouted)
        return;
    e.stop_reason_ = reason;
    if (e.upstream_ == nullptr)
        return;
    boost::system::error_code ignored;
    if (reason == stop_reason::rerouted)
        e.upstream_->socket_.next_layer().cancel(ignored);
    else
        e.upstream_->socket_.next_layer().close(ignored);
}


bool may_run_again(const exchange& e) noexcept
{
    if (e.possible_runs_ == 0)
        return true;
    return catalog::may_repeat(e.route_->kind_) && e.may_resume_ &&
           e.possible_runs_ < e.route_->max_attempts_;
}


const char* to_string(stop_reason reason) noexcept
{
    switch (reason) {
    case stop_reason::none:
        return "none";
    case stop_reason::caller_left:
        return "caller_left";
    case stop_reason::deadline:
        return "deadline";
    case stop_reason::connect_timeout:
        return "connect_timeout";
    case stop_reason::rerouted:
        return "rerouted";
    case stop_reason::resumed:
        return "resumed";
    case stop_reason::stalled:
        return "stalled";
    case stop_reason::shutdown:
        return "shutdown";
    }
    return "unknown";
}


const char* to_string(wait_phase phase) noexcept
{
    switch (phase) {
    case wait_phase::none:
        return "none";
    case wait_phase::connect:
        return "connect";
    case wait_phase::first_response:
        return "first_response";
    case wait_phase::next_event:
        return "next_event";
    }
    return "unknown";
}

} // namespace monsoondock::relay::pvt

#include "caller_shutdown.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::traffic::pvt {

namespace {

// Cancels the reads of the connections in the given phase.
void interrupt(const traffic_thread& thread, caller_phase phase)
{
    for (caller_connection* caller : thread.callers_) {
        if (caller->phase_ == phase)
            caller->stream_.cancel();
    }
}


std::int64_t count_in(const traffic_thread& thread, caller_phase phase)
{
    return std::count_if(
        thread.callers_.begin(),
        thread.callers_.end(),
        [phase](const caller_connection* c) { return c->phase_ == phase; });
}

} // namespace

void close_idle_callers(traffic_thread& thread)
{
    interrupt(thread, caller_phase::idle);
}


void abort_requests(traffic_thread& thread)
{
    thread.abort_.cancel();
    interrupt(thread, caller_phase::reading);
}


void log_cut_work(const traffic_thread& thread)
{
    const base::time_point now = base::boot_clock::now();
    for (const request_context* context : thread.requests_)
        base::event_line("request_cut", base::severity::warning)
            .field("request", context->id_)
            .field("workspace", context->workspace_)
            .field("target", std::string_view(context->request_.target()))
            .field("upstream", context->report_.upstream_)
            .field("attempts", context->report_.attempts_)
            .field("total", now - context->arrived_);
    base::event_line("connections_closed")
        .field("idle", count_in(thread, caller_phase::idle))
        .field("reading", count_in(thread, caller_phase::reading))
        .field("serving", count_in(thread, caller_phase::serving))
        .field("closing", count_in(thread, caller_phase::closing));
}

} // namespace monsoondock::traffic::pvt

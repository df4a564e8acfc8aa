#include "wait_limits.hpp"

#include "serving_engine.hpp"

#include <algorithm>

namespace monsoondock::relay::pvt {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Limit of the wait for the next event, as a multiple of the longest scheduling
// pass of the engine.
constexpr double pass_factor = 1.3;
// Lower bound of that limit, which allows for network and timer delays.
constexpr milliseconds min_event_limit{150};
// Time to the first event in addition to a pass and the prefill.
constexpr milliseconds first_event_base{250};
// Allows for prompts that are processed earlier: limit of the prefill as a
// multiple of the time for the request's own prompt.
constexpr double prefill_factor = 2.0;
// Share of the target latency after which another upstream can still respond in
// time; for responses that are not streams.
constexpr double rerouting_share = 0.6;


nanoseconds from_ms(double ms)
{
    return nanoseconds(static_cast<std::int64_t>(ms * 1e6));
}


// Returns the duration of a pass in which all slots are busy and every step
// also processes a full prefill chunk.
nanoseconds longest_pass(const serving_engine& s)
{
    if (s.engine_ == nullptr)
        return nanoseconds{0};
    const catalog::engine& e = *s.engine_;
    const double step = e.step_ms_ + e.step_per_request_ms_ * e.slots_ +
                        e.prefill_chunk_tokens_ / e.prefill_tokens_per_ms_;
    return from_ms(e.steps_per_scheduling_pass_ * step * s.time_factor_);
}


nanoseconds event_limit(const serving_engine& s)
{
    const auto pass = longest_pass(s);
    return std::max<nanoseconds>(
        min_event_limit, from_ms(double(pass.count()) / 1e6 * pass_factor));
}


nanoseconds first_event_limit(const exchange& e, const serving_engine& s)
{
    if (s.engine_ == nullptr)
        return first_event_base;
    const double prefill =
        e.prompt_tokens_ / s.engine_->prefill_tokens_per_ms_ * s.time_factor_;
    return first_event_base + longest_pass(s) +
           from_ms(prefill * prefill_factor);
}

// A stream without an event for this multiple of the wait limit has been
// dropped by its upstream.
constexpr int stall_factor = 3;
// A stream without an event for this multiple, which no other upstream may
// take, is ended if its upstream still sends bytes.
constexpr int abandon_factor = 10;
// Expected end of a response as a multiple of the time that its prompt and the
// estimated answer take while all slots are busy.
constexpr double duration_factor = 2.0;


// Returns the time of a decode step in which all slots are busy.
double busy_step_ms(const serving_engine& s)
{
    const catalog::engine& e = *s.engine_;
    return (e.step_ms_ + e.step_per_request_ms_ * e.slots_) * s.time_factor_;
}

} // namespace

nanoseconds stall_limit(const exchange& e)
{
    const bool waits = e.phase_ == wait_phase::next_event ||
                       e.phase_ == wait_phase::first_response;
    if (!waits || !catalog::is_stream(e.route_->kind_))
        return nanoseconds{0};
    return stall_factor * wait_limit(e);
}


nanoseconds abandon_limit(const exchange& e)
{
    return stall_limit(e) / stall_factor * abandon_factor;
}


nanoseconds wait_limit(const exchange& e)
{
    switch (e.phase_) {
    case wait_phase::none:
        return nanoseconds{0};
    case wait_phase::connect:
        return connect_timeout;
    case wait_phase::next_event:
        return event_limit(find_engine(e));
    case wait_phase::first_response:
        break;
    }
    if (catalog::is_stream(e.route_->kind_))
        return first_event_limit(e, find_engine(e));
    if (!catalog::may_repeat(e.route_->kind_))
        return nanoseconds{0};
    const nanoseconds target = e.route_->target_latency_;
    return nanoseconds(
        static_cast<std::int64_t>(double(target.count()) * rerouting_share));
}


base::time_point expected_end(const exchange& e, base::time_point now)
{
    const serving_engine s = find_engine(e);
    double ms = 0;
    if (s.engine_ == nullptr) {
        ms =
            std::chrono::duration<double, std::milli>(e.route_->target_latency_)
                .count();
    } else {
        const double prefill = e.prompt_tokens_ /
                               s.engine_->prefill_tokens_per_ms_ *
                               s.time_factor_;
        ms = e.answer_tokens_ == 0
                 ? 0
                 : prefill + e.answer_tokens_ * busy_step_ms(s);
    }
    return ms <= 0 ? e.deadline_
                   : std::min(e.deadline_, now + from_ms(ms * duration_factor));
}

} // namespace monsoondock::relay::pvt

#include "patience.hpp"

#include <algorithm>

namespace monsoondock::relay::pvt {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Silence is judged against the longest pass of an engine, with some room.
constexpr double pass_factor = 1.3;
// Least time that a stream may be silent; links and timers take some of it.
constexpr milliseconds least_event_limit{150};
// A first event takes this much longer than a pass and the own prompt.
constexpr milliseconds first_event_base{250};
// Prompts that others read first, in multiples of the own one.
constexpr double prefill_factor = 2.0;
// Share of a plain answer's target after which another upstream can still
// answer in time.
constexpr double plain_share = 0.6;


nanoseconds from_ms(double ms)
{
    return nanoseconds(static_cast<std::int64_t>(ms * 1e6));
}


/// The engine that serves a request, and the pace of its model.
struct serving_engine
{
    const catalog::engine* engine_ = nullptr;
    double pace_ = 1.0;
};


serving_engine find_engine(const exchange& e)
{
    for (const auto& d : e.route_->deployments_) {
        const auto* target =
            catalog::find_deployment(*e.view_->catalog_, d.deployment_);
        if (target == nullptr || !target->engine_)
            continue;
        for (const catalog::model& m : target->engine_->models_) {
            if (m.name_ == e.model_)
                return {&*target->engine_, m.time_factor_};
        }
    }
    return {};
}


// A pass in which every step reads a whole piece of a prompt.
nanoseconds longest_pass(const serving_engine& s)
{
    if (s.engine_ == nullptr)
        return nanoseconds{0};
    const catalog::engine& e = *s.engine_;
    const double step = e.step_ms_ + e.step_per_request_ms_ * e.slots_ +
                        e.prefill_chunk_tokens_ / e.prefill_tokens_per_ms_;
    return from_ms(e.steps_per_scheduling_pass_ * step * s.pace_);
}


nanoseconds event_limit(const serving_engine& s)
{
    const auto pass = longest_pass(s);
    return std::max<nanoseconds>(
        least_event_limit, from_ms(double(pass.count()) / 1e6 * pass_factor));
}


nanoseconds first_event_limit(const exchange& e, const serving_engine& s)
{
    if (s.engine_ == nullptr)
        return first_event_base;
    const double prefill =
        e.prompt_tokens_ / s.engine_->prefill_tokens_per_ms_ * s.pace_;
    return first_event_base + longest_pass(s) +
           from_ms(prefill * prefill_factor);
}

// A stream that gets nothing in so many times the wait that a silent upstream
// is given has been dropped by it.
constexpr int hang_factor = 3;

} // namespace

nanoseconds hang_limit(const exchange& e)
{
    const bool waits = e.phase_ == wait_phase::next_event ||
                       e.phase_ == wait_phase::first_answer;
    if (!waits || !catalog::is_stream(e.route_->kind_))
        return nanoseconds{0};
    return hang_factor * wait_limit(e);
}


nanoseconds wait_limit(const exchange& e)
{
    switch (e.phase_) {
    case wait_phase::none:
        return nanoseconds{0};
    case wait_phase::connect:
        return connect_limit;
    case wait_phase::next_event:
        return event_limit(find_engine(e));
    case wait_phase::first_answer:
        break;
    }
    if (catalog::is_stream(e.route_->kind_))
        return first_event_limit(e, find_engine(e));
    if (!catalog::may_repeat(e.route_->kind_))
        return nanoseconds{0};
    const nanoseconds target = e.route_->target_latency_;
    return nanoseconds(
        static_cast<std::int64_t>(double(target.count()) * plain_share));
}

} // namespace monsoondock::relay::pvt

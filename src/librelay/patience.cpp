#include "patience.hpp"

#include <algorithm>

namespace monsoondock::relay::pvt {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A batch of prompts that is read between two events takes about this long.
constexpr milliseconds event_limit{150};
constexpr milliseconds first_event_base{250};
// Prompts that others read first, in multiples of the own one.
constexpr double prefill_factor = 3.0;
// Share of a plain answer's target after which another upstream can still
// answer in time.
constexpr double plain_share = 0.6;


nanoseconds prefill_time(const exchange& e)
{
    for (const auto& d : e.route_->deployments_) {
        const auto* target =
            catalog::find_deployment(*e.view_->catalog_, d.deployment_);
        if (target == nullptr || !target->engine_)
            continue;
        for (const catalog::model& m : target->engine_->models_) {
            if (m.name_ != e.model_)
                continue;
            const double ms = e.prompt_tokens_ /
                              target->engine_->prefill_tokens_per_ms_ * m.pace_;
            return nanoseconds(static_cast<std::int64_t>(ms * 1e6));
        }
    }
    return nanoseconds{0};
}

} // namespace

nanoseconds wait_limit(const exchange& e)
{
    switch (e.phase_) {
    case wait_phase::none:
        return nanoseconds{0};
    case wait_phase::connect:
        return connect_limit;
    case wait_phase::next_event:
        return event_limit;
    case wait_phase::first_answer:
        break;
    }
    if (catalog::is_stream(e.route_->kind_)) {
        const auto prefill = prefill_time(e);
        return first_event_base +
               nanoseconds(static_cast<std::int64_t>(
                   double(prefill.count()) * prefill_factor));
    }
    if (!catalog::may_repeat(e.route_->kind_))
        return nanoseconds{0};
    const nanoseconds target = e.route_->target_latency_;
    return nanoseconds(
        static_cast<std::int64_t>(double(target.count()) * plain_share));
}

} // namespace monsoondock::relay::pvt

#include "control_plane.hpp"

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace {

// Weight of the latest report in the exponential moving average.
constexpr double smoothing_factor = 0.35;
// Reports that are older than this are ignored.
constexpr std::chrono::milliseconds report_retention{4000};


void smooth(double& rate, double latest)
{
    rate += smoothing_factor * (latest - rate);
}


// Returns the milliseconds of work that one second of demand causes in a group.
double busy_ms(
    const relay::model_demand& demand,
    const catalog::engine& e,
    double time_factor)
{
    const double slots = std::max(1U, e.slots_);
    const double step = (e.step_ms_ + e.step_per_request_ms_ * slots) / slots;
    return time_factor * (demand.prompt_tokens_ / e.prefill_tokens_per_ms_ +
                          demand.answer_tokens_ * step);
}

} // namespace

void record_demand(control_plane& c, const demand_message& m)
{
    const double seconds = std::chrono::duration<double>(m.interval_).count();
    if (seconds <= 0)
        return;
    auto& sender = c.demand_.daemons_[m.sender_];
    sender.reported_at_ = base::boot_clock::now();
    for (const auto& [deployment_and_model, demand] : m.demand_)
        sender.per_second_.try_emplace(deployment_and_model);
    for (auto& [deployment_and_model, rate] : sender.per_second_) {
        const auto found = m.demand_.find(deployment_and_model);
        const relay::model_demand latest =
            found == m.demand_.end() ? relay::model_demand{} : found->second;
        smooth(rate.prompt_tokens_, latest.prompt_tokens_ / seconds);
        smooth(rate.answer_tokens_, latest.answer_tokens_ / seconds);
    }
}


std::map<std::string, double>
needed_hosts(const control_plane& c, const catalog::deployment& d)
{
    std::map<std::string, double> result;
    const base::time_point now = base::boot_clock::now();
    for (const auto& [daemon, rates] : c.demand_.daemons_) {
        if (now - rates.reported_at_ > report_retention)
            continue;
        for (const catalog::model& m : d.engine_->models_) {
            const auto found = rates.per_second_.find({d.id_, m.name_});
            if (found == rates.per_second_.end())
                continue;
            result[m.name_] +=
                busy_ms(found->second, *d.engine_, m.time_factor_) / 1000.0 *
                m.group_size_;
        }
    }
    return result;
}

} // namespace monsoondock::entry::pvt

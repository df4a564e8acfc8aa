#include "control.hpp"

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace {

// Weight of the latest second against those before.
constexpr double latest_weight = 0.35;
// What a daemon told counts for so long.
constexpr std::chrono::milliseconds retention{4000};


void smooth(double& rate, double latest)
{
    rate += latest_weight * (latest - rate);
}


// Milliseconds that a group works for the requests of a second.
double
busy_ms(const relay::model_demand& w, const catalog::engine& e, double pace)
{
    const double slots = std::max(1U, e.slots_);
    const double step = (e.step_ms_ + e.step_per_request_ms_ * slots) / slots;
    return pace * (w.prompt_tokens_ / e.prefill_tokens_per_ms_ +
                   w.answer_tokens_ * step);
}

} // namespace

void take_work(control& c, const work_message& m)
{
    const double seconds = std::chrono::duration<double>(m.time_).count();
    if (seconds <= 0)
        return;
    auto& known = c.work_.daemons_[m.sender_];
    known.told_at_ = base::boot_clock::now();
    for (const auto& [of, work] : m.work_)
        known.a_second_.try_emplace(of);
    for (auto& [of, rate] : known.a_second_) {
        const auto found = m.work_.find(of);
        const relay::model_demand latest =
            found == m.work_.end() ? relay::model_demand{} : found->second;
        smooth(rate.prompt_tokens_, latest.prompt_tokens_ / seconds);
        smooth(rate.answer_tokens_, latest.answer_tokens_ / seconds);
    }
}


std::map<std::string, double>
needed_hosts(const control& c, const catalog::deployment& d)
{
    std::map<std::string, double> result;
    const base::time_point now = base::boot_clock::now();
    for (const auto& [daemon, rates] : c.work_.daemons_) {
        if (now - rates.told_at_ > retention)
            continue;
        for (const catalog::model& m : d.engine_->models_) {
            const auto found = rates.a_second_.find({d.id_, m.name_});
            if (found == rates.a_second_.end())
                continue;
            result[m.name_] +=
                busy_ms(found->second, *d.engine_, m.time_factor_) / 1000.0 *
                m.group_size_;
        }
    }
    return result;
}

} // namespace monsoondock::entry::pvt

#include "simulation_test.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

namespace monsoondock::admission::test {

namespace {

constexpr milliseconds step{5};
constexpr milliseconds return_window{50};
constexpr double mean_answer_tokens = 160;
constexpr milliseconds variation_period{10000};
constexpr int return_divisor = 3;
constexpr double previous_queue = 3;


// Figures of an engine with 34 slots of about 1.6 s each.
catalog::engine make_engine()
{
    catalog::engine e;
    e.slots_ = 34;
    e.step_ms_ = 6;
    e.step_per_request_ms_ = 0.03;
    e.prefill_tokens_per_ms_ = 43;
    e.prefill_chunk_tokens_ = 512;
    e.steps_per_scheduling_pass_ = 8;
    e.mean_prompt_tokens_ = 700;
    e.mean_answer_tokens_ = mean_answer_tokens;
    return e;
}


base::time_point to_time(milliseconds t)
{
    return base::time_point(
        std::chrono::hours(1) +
        std::chrono::duration_cast<std::chrono::nanoseconds>(t));
}

} // namespace

simulation::simulation(simulation_options options)
    : options_(std::move(options)), random_(options_.seed_),
      engine_(make_engine()),
      times_(*times_of_engine(engine_, 1, engine_.slots_)),
      capacity_(completions_per_second(times_) * double(options_.groups_)),
      admissions_(options_.daemons_), groups_(options_.groups_),
      in_flight_(options_.daemons_, std::vector<double>(options_.groups_)),
      reported_(in_flight_), reported_total_(options_.groups_)
{}


std::map<std::string, outcome> simulation::run()
{
    // What has begun is finished after the last new caller.
    for (; now_ < options_.time_ + milliseconds{15000}; now_ += step) {
        if (now_ - reported_at_ >= options_.report_age_)
            report_loads();
        if (now_ >= window_end_) {
            window_end_ += return_window;
            returns_in_window_ = 0;
        }
        if (now_ < options_.time_)
            send_new_callers();
        send_returning_callers();
        for (std::size_t i = 0; i < groups_.size(); ++i) {
            if (groups_[i].in_pass_ && now_ >= groups_[i].pass_end_)
                end_pass(groups_[i], i);
            if (!groups_[i].in_pass_)
                begin_pass(groups_[i], i);
        }
    }
    return outcomes_;
}


double simulation::random()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}


void simulation::send_new_callers()
{
    for (std::size_t k = 0; k < options_.kinds_.size(); ++k) {
        const request_kind& kind = options_.kinds_[k];
        double load = kind.load_;
        load *=
            1 + kind.variation_ *
                    std::sin(2 * std::numbers::pi * now_ / variation_period);
        if (now_ >= kind.burst_begin_ && now_ < kind.burst_end_)
            load *= kind.burst_;
        const double mean =
            load * capacity_ * std::chrono::duration<double>(step).count();
        const int n = std::poisson_distribution<int>(mean)(random_);
        for (int i = 0; i < n; ++i) {
            caller c;
            c.kind_ = k;
            c.fingerprint_ = ++last_fingerprint_;
            c.began_ = now_;
            ++outcomes_[kind.name_].callers_;
            arrive(c);
        }
    }
}


void simulation::send_returning_callers()
{
    while (!returning_.empty() && returning_.begin()->first <= now_) {
        const caller c = returning_.begin()->second;
        returning_.erase(returning_.begin());
        most_returns_ = std::max(most_returns_, ++returns_in_window_);
        arrive(c);
    }
}


void simulation::arrive(caller c)
{
    const request_kind& kind = options_.kinds_[c.kind_];
    outcome& o = outcomes_[kind.name_];
    c.daemon_ = static_cast<std::size_t>(random() * double(options_.daemons_));
    const decision d = decide(c, c.daemon_);
    if (!d.refusal_) {
        c.predicted_ = now_ + d.predicted_;
        const std::size_t g = choose_group(c.daemon_);
        in_flight_[c.daemon_][g] += 1;
        c.tokens_left_ = mean_answer_tokens * (0.5 + random());
        groups_[g].waiting_[kind.priority_].push_back(c);
        return;
    }
    ++o.refusals_;
    if (c.returned_) {
        ++o.unserved_;
        return;
    }
    c.returned_ = true;
    const milliseconds delay = options_.variant_ == variant::same_return
                                   ? milliseconds{500}
                                   : milliseconds(d.retry_after_);
    returning_.emplace(now_ + delay, c);
}


decision simulation::decide(const caller& c, std::size_t daemon)
{
    if (options_.variant_ == variant::admit_all)
        return {};
    if (options_.variant_ == variant::previous_limit)
        return decide_by_queue(daemon);
    const request_kind& kind = options_.kinds_[c.kind_];
    incoming_request r;
    r.workspace_ =
        options_.variant_ == variant::no_shares ? "all" : kind.workspace_;
    r.route_ = kind.name_;
    r.fingerprint_ = c.fingerprint_;
    r.priority_ =
        options_.variant_ == variant::no_priorities ? 0 : kind.priority_;
    r.prompt_tokens_ = kind.prompt_tokens_;
    r.target_ = kind.target_;
    r.deadline_ = to_time(c.began_ + kind.deadline_);
    r.longest_return_ = (c.began_ + kind.deadline_ - now_) / return_divisor;
    r.random_fraction_ = random();
    upstream_loads known;
    known.report_age_ = options_.report_age_;
    known.daemons_ = static_cast<unsigned>(options_.daemons_);
    for (std::size_t g = 0; g < groups_.size(); ++g)
        known.upstreams_.push_back({times_, known_load(daemon, g)});
    if (options_.variant_ == variant::refuse_large) {
        for (upstream_load& u : known.upstreams_)
            u.times_.mean_prompt_tokens_ = kind.prompt_tokens_;
    }
    return admissions_[daemon].decide(r, known, to_time(now_));
}


decision simulation::decide_by_queue(std::size_t daemon)
{
    decision d;
    double least = std::numeric_limits<double>::max();
    for (std::size_t g = 0; g < groups_.size(); ++g)
        least = std::min(least, known_load(daemon, g));
    if (least >= engine_.slots_ + previous_queue) {
        d.refusal_ = refusal_reason::queue_full;
        d.retry_after_ = std::chrono::milliseconds(
            static_cast<std::int64_t>(375 + 250 * random()));
    }
    return d;
}


// Spreads the choices as relay::choose_upstream does.
std::size_t simulation::choose_group(std::size_t daemon)
{
    std::vector<std::pair<double, std::size_t>> loads;
    for (std::size_t g = 0; g < groups_.size(); ++g)
        loads.emplace_back(known_load(daemon, g), g);
    std::sort(loads.begin(), loads.end());
    const double unreported = std::max(
        1.0,
        capacity_ *
            std::chrono::duration<double>(options_.report_age_).count());
    double filled = unreported;
    double level = 0;
    double groups = 0;
    for (const auto& [load, g] : loads) {
        if (groups > 0 && load >= level)
            break;
        groups += 1;
        filled += load;
        level = filled / groups;
    }
    double remaining = random() * unreported;
    for (const auto& [load, g] : loads) {
        remaining -= level - load;
        if (remaining < 0)
            return g;
    }
    return loads.front().second;
}


double simulation::known_load(std::size_t daemon, std::size_t group) const
{
    return reported_total_[group] - reported_[daemon][group] +
           in_flight_[daemon][group];
}


void simulation::report_loads()
{
    reported_at_ = now_;
    reported_ = in_flight_;
    for (std::size_t g = 0; g < groups_.size(); ++g) {
        reported_total_[g] = 0;
        for (const auto& loads : reported_)
            reported_total_[g] += loads[g];
    }
}


void simulation::end_pass(group& g, std::size_t index)
{
    g.in_pass_ = false;
    std::vector<caller> still_running;
    for (caller& c : g.running_) {
        const request_kind& kind = options_.kinds_[c.kind_];
        outcome& o = outcomes_[kind.name_];
        if (!c.served_) {
            const milliseconds taken = now_ - c.began_;
            ++(taken <= kind.target_ ? o.on_time_ : o.late_);
            c.served_ = true;
            o.as_predicted_ += now_ <= c.predicted_ ? 1 : 0;
        }
        c.tokens_left_ -= engine_.steps_per_scheduling_pass_;
        if (c.tokens_left_ > 0)
            still_running.push_back(c);
        else
            finish(c, index);
    }
    g.running_ = std::move(still_running);
}


void simulation::begin_pass(group& g, std::size_t index)
{
    double prompt_tokens = 0;
    for (auto& [priority, queue] : g.waiting_) {
        while (!queue.empty() && g.running_.size() < engine_.slots_) {
            const caller c = queue.front();
            queue.pop_front();
            const request_kind& kind = options_.kinds_[c.kind_];
            if (now_ > c.began_ + kind.deadline_) {
                ++outcomes_[kind.name_].unserved_;
                finish(c, index);
                continue;
            }
            prompt_tokens += kind.prompt_tokens_;
            g.running_.push_back(c);
        }
    }
    if (g.running_.empty())
        return;
    const double n = double(g.running_.size());
    const double step_ms = engine_.step_ms_ + engine_.step_per_request_ms_ * n;
    g.in_pass_ = true;
    g.pass_end_ = now_ + milliseconds(
                             engine_.steps_per_scheduling_pass_ * step_ms +
                             prompt_tokens / engine_.prefill_tokens_per_ms_);
}


void simulation::finish(const caller& c, std::size_t group)
{
    in_flight_[c.daemon_][group] -= 1;
}

} // namespace monsoondock::admission::test

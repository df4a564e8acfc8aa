#include "zipf.hpp"

#include <monsoondock/load/plan.hpp>

#include <algorithm>
#include <random>

namespace monsoondock::load {

namespace {

constexpr double CONTINUED_SESSIONS = 0.7;
constexpr double REPEATED_CALLS = 0.1;
constexpr double STREAMED_REPORTS = 0.5;
constexpr std::size_t REPORT_LENGTH_FACTOR = 4;
constexpr std::size_t OPEN_SESSIONS = 8;


/// Talk of one user; its first messages stay the same.
struct session
{
    std::size_t prefix_ = 0;
    std::size_t number_ = 0;
};


/// State of a plan in the making.
struct planner
{
    explicit planner(const plan_options& options)
        : options_(options), random_(options.seed_),
          workspaces_(
              pvt::zipf(options.workspaces_, options.profile_.workspace_skew_)),
          prefixes_(
              pvt::zipf(options.prefixes_, options.profile_.prefix_skew_)),
          sessions_(options.workspaces_)
    {}

    const plan_options& options_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> workspaces_;
    std::discrete_distribution<std::size_t> prefixes_;
    /// Open sessions by workspace.
    std::vector<std::vector<session>> sessions_;
    std::size_t started_sessions_ = 0;
    std::size_t requests_ = 0;
};


double uniform(planner& p)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(p.random_);
}


/// Returns a number from 1 to 2 * mean - 1.
std::size_t length_around(planner& p, std::size_t mean)
{
    const std::size_t longest = std::max<std::size_t>(2 * mean, 2) - 1;
    return std::uniform_int_distribution<std::size_t>(1, longest)(p.random_);
}


session start_session(planner& p, std::size_t workspace)
{
    const session fresh{p.prefixes_(p.random_), p.started_sessions_++};
    auto& open = p.sessions_[workspace];
    open.push_back(fresh);
    if (open.size() > OPEN_SESSIONS)
        open.erase(open.begin());
    return fresh;
}


session pick_session(planner& p, std::size_t workspace)
{
    const auto& open = p.sessions_[workspace];
    if (open.empty() || uniform(p) >= CONTINUED_SESSIONS)
        return start_session(p, workspace);
    std::uniform_int_distribution<std::size_t> any(0, open.size() - 1);
    return open[any(p.random_)];
}


request_class pick_class(planner& p, const demand& d)
{
    const double point = uniform(p);
    if (point < d.interactive_)
        return request_class::interactive;
    if (point < d.interactive_ + d.report_)
        return request_class::report;
    return request_class::call;
}


std::vector<chat_message> make_messages(planner& p, const arrival& a)
{
    const session s = pick_session(p, a.workspace_);
    const std::string workspace = std::to_string(a.workspace_);
    return {
        {"system",
         "rules " + std::to_string(s.prefix_) + " of workspace " + workspace},
        {"user", "session " + std::to_string(s.number_)},
        {"user",
         std::string(to_string(a.class_)) + " request " +
             std::to_string(p.requests_) + " of workspace " + workspace}};
}


void make_completion(planner& p, arrival& a)
{
    const bool report = a.class_ == request_class::report;
    const std::size_t factor = report ? REPORT_LENGTH_FACTOR : 1;
    a.messages_ = make_messages(p, a);
    a.max_tokens_ = length_around(p, p.options_.mean_tokens_ * factor);
    a.stream_ = !report || uniform(p) < STREAMED_REPORTS;
}


void make_call(planner& p, arrival& a)
{
    const std::string number = std::to_string(p.requests_);
    a.key_ = "load-" + std::to_string(p.options_.seed_) + "-" + number;
    a.body_ = "lot " + number + " of workspace " + std::to_string(a.workspace_);
    a.repeated_ = uniform(p) < REPEATED_CALLS;
}


arrival make_arrival(planner& p, base::duration at, const demand& d)
{
    arrival a;
    a.at_ = at;
    a.workspace_ = p.workspaces_(p.random_);
    a.class_ = pick_class(p, d);
    if (a.class_ == request_class::call)
        make_call(p, a);
    else
        make_completion(p, a);
    ++p.requests_;
    return a;
}

} // namespace

std::vector<arrival> make_plan(const plan_options& options)
{
    planner p(options);
    const double peak = peak_rate(options.profile_);
    const double seconds =
        std::chrono::duration<double>(options.duration_).count();
    std::exponential_distribution<double> gap(options.base_rate_ * peak);
    std::vector<arrival> plan;
    double now = gap(p.random_);
    while (now < seconds && plan.size() < options.max_requests_) {
        const demand d = demand_at(options.profile_, now / seconds);
        const std::chrono::duration<double> at(now);
        if (uniform(p) * peak < d.rate_)
            plan.push_back(make_arrival(
                p, std::chrono::duration_cast<base::duration>(at), d));
        now += gap(p.random_);
    }
    return plan;
}

} // namespace monsoondock::load

#include "zipf.hpp"

#include <monsoondock/load/plan.hpp>

#include <algorithm>
#include <random>

namespace monsoondock::load {

namespace {

constexpr double CONTINUED_SESSION_FRACTION = 0.7;
constexpr double REPEATED_CALL_FRACTION = 0.1;
constexpr double STREAMED_REPORT_FRACTION = 0.5;
constexpr std::size_t REPORT_LENGTH_FACTOR = 4;
constexpr std::size_t MAX_OPEN_SESSIONS = 8;


/// Conversation of one user. All its requests begin with the same messages, so
/// that they share a prompt prefix.
struct session
{
    std::size_t prefix_ = 0;
    std::size_t number_ = 0;
};


/// State of the generation of a plan.
struct plan_builder
{
    explicit plan_builder(const plan_options& options)
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
    /// Open sessions, by workspace index.
    std::vector<std::vector<session>> sessions_;
    std::size_t session_count_ = 0;
    std::size_t request_count_ = 0;
};


double uniform(plan_builder& p)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(p.random_);
}


/// Returns a uniformly distributed number from 1 to 2 * mean - 1.
std::size_t draw_length(plan_builder& p, std::size_t mean)
{
    const std::size_t longest = std::max<std::size_t>(2 * mean, 2) - 1;
    return std::uniform_int_distribution<std::size_t>(1, longest)(p.random_);
}


session start_session(plan_builder& p, std::size_t workspace)
{
    const session created{p.prefixes_(p.random_), p.session_count_++};
    auto& open = p.sessions_[workspace];
    open.push_back(created);
    if (open.size() > MAX_OPEN_SESSIONS)
        open.erase(open.begin());
    return created;
}


session pick_session(plan_builder& p, std::size_t workspace)
{
    const auto& open = p.sessions_[workspace];
    if (open.empty() || uniform(p) >= CONTINUED_SESSION_FRACTION)
        return start_session(p, workspace);
    std::uniform_int_distribution<std::size_t> index(0, open.size() - 1);
    return open[index(p.random_)];
}


request_class pick_class(plan_builder& p, const demand& d)
{
    const double draw = uniform(p);
    if (draw < d.interactive_)
        return request_class::interactive;
    if (draw < d.interactive_ + d.report_)
        return request_class::report;
    return request_class::call;
}


std::vector<chat_message> make_messages(plan_builder& p, const arrival& a)
{
    const session s = pick_session(p, a.workspace_index_);
    const std::string workspace = std::to_string(a.workspace_index_);
    return {
        {"system",
         "rules " + std::to_string(s.prefix_) + " of workspace " + workspace},
        {"user", "session " + std::to_string(s.number_)},
        {"user",
         std::string(to_string(a.class_)) + " request " +
             std::to_string(p.request_count_) + " of workspace " + workspace}};
}


void make_completion(plan_builder& p, arrival& a)
{
    const bool report = a.class_ == request_class::report;
    const std::size_t factor = report ? REPORT_LENGTH_FACTOR : 1;
    a.messages_ = make_messages(p, a);
    a.max_tokens_ = draw_length(p, p.options_.mean_tokens_ * factor);
    a.stream_ = !report || uniform(p) < STREAMED_REPORT_FRACTION;
}


void make_call(plan_builder& p, arrival& a)
{
    const std::string number = std::to_string(p.request_count_);
    a.idempotency_key_ =
        "load-" + std::to_string(p.options_.seed_) + "-" + number;
    a.body_ =
        "lot " + number + " of workspace " + std::to_string(a.workspace_index_);
    a.repeated_ = uniform(p) < REPEATED_CALL_FRACTION;
}


arrival make_arrival(plan_builder& p, base::duration at, const demand& d)
{
    arrival a;
    a.at_ = at;
    a.workspace_index_ = p.workspaces_(p.random_);
    a.class_ = pick_class(p, d);
    if (a.class_ == request_class::call)
        make_call(p, a);
    else
        make_completion(p, a);
    ++p.request_count_;
    return a;
}

} // namespace

std::vector<arrival> make_plan(const plan_options& options)
{
    plan_builder p(options);
    const double peak = peak_rate(options.profile_);
    const double seconds =
        std::chrono::duration<double>(options.duration_).count();
    std::exponential_distribution<double> interarrival(
        options.base_rate_ * peak);
    std::vector<arrival> plan;
    double now = interarrival(p.random_);
    while (now < seconds && plan.size() < options.max_requests_) {
        const demand d = demand_at(options.profile_, now / seconds);
        const std::chrono::duration<double> at(now);
        if (uniform(p) * peak < d.rate_)
            plan.push_back(make_arrival(
                p, std::chrono::duration_cast<base::duration>(at), d));
        now += interarrival(p.random_);
    }
    return plan;
}

} // namespace monsoondock::load

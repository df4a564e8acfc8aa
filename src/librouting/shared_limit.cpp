#include <monsoondock/routing/shared_limit.hpp>

#include <algorithm>

namespace monsoondock::routing {

namespace {

double to_seconds(std::chrono::nanoseconds d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace


shared_limit::shared_limit(
    base::daemon_id self,
    double per_second,
    unsigned daemons,
    base::time_point now,
    shared_limit_options options)
    : self_(std::move(self)), per_second_(per_second),
      daemons_(std::max(daemons, 1U)), options_(options),
      limiter_(per_second / daemons_, options.burst_), window_start_(now),
      credit_updated_at_(now)
{}


std::chrono::nanoseconds shared_limit::take(base::time_point now)
{
    ++requested_;
    const auto wait = limiter_.take(now);
    if (wait.count() == 0) {
        ++allowed_;
        ++total_allowed_;
    }
    return wait;
}


void shared_limit::receive_report(
    const demand_report& report, base::time_point now)
{
    const auto [found, inserted] = peers_.try_emplace(report.daemon_);
    const std::uint64_t before = found->second.report_.allowed_;
    // The counter of a restarted daemon starts again from zero.
    if (!inserted && report.allowed_ >= before)
        total_allowed_ += report.allowed_ - before;
    found->second.report_ = report;
    found->second.received_at_ = now;
}


demand_report shared_limit::report(base::time_point now)
{
    measure_demand(now);
    drop_expired_peers(now);
    update_credit(now);
    const double correction = credit_ / to_seconds(options_.correction_time_);
    const double total = std::max(per_second_ + correction, 0.0);
    limiter_.set_rate(total * own_share(), now);
    return {self_, demand_, allowed_};
}


void shared_limit::set_daemons(unsigned daemons)
{
    daemons_ = std::max(daemons, 1U);
}


void shared_limit::measure_demand(base::time_point now)
{
    const auto length = now - window_start_;
    if (length < options_.demand_window_)
        return;
    demand_ = static_cast<double>(requested_) / to_seconds(length);
    requested_ = 0;
    window_start_ = now;
}


void shared_limit::drop_expired_peers(base::time_point now)
{
    std::erase_if(peers_, [&](const auto& item) {
        return now - item.second.received_at_ > options_.max_report_age_;
    });
}


// Adds the requests that the rate permitted since the last update, up to the
// demand, and subtracts those that all daemons allowed. Capacity for which
// there was no demand adds no credit.
void shared_limit::update_credit(base::time_point now)
{
    double demand = demand_;
    for (const auto& [daemon, p] : peers_)
        demand += p.report_.demand_;
    const double seconds = to_seconds(now - credit_updated_at_);
    credit_updated_at_ = now;
    credit_ += std::min(per_second_, demand) * seconds;
    credit_ -= static_cast<double>(total_allowed_);
    total_allowed_ = 0;
    const double bound = per_second_ * to_seconds(options_.max_credit_);
    credit_ = std::clamp(credit_, -bound, bound);
}


double shared_limit::own_share() const
{
    if (peers_.empty())
        return 1.0 / daemons_;
    double demand = demand_;
    for (const auto& [daemon, p] : peers_)
        demand += p.report_.demand_;
    const double even = 1.0 / daemons_;
    if (demand <= 0)
        return even;
    const double by_demand = demand_ / demand;
    return (1 - options_.even_share_) * by_demand + options_.even_share_ * even;
}

} // namespace monsoondock::routing

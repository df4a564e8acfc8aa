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
    shared_limit_options sharing)
    : self_(std::move(self)), per_second_(per_second),
      daemons_(std::max(daemons, 1U)), sharing_(sharing),
      limiter_(per_second / daemons_, sharing.burst_), window_start_(now),
      credit_at_(now)
{}


std::chrono::nanoseconds shared_limit::take(base::time_point now)
{
    ++asked_;
    const auto wait = limiter_.take(now);
    if (wait.count() == 0) {
        ++allowed_;
        ++total_seen_;
    }
    return wait;
}


void shared_limit::receive_report(
    const demand_report& report, base::time_point now)
{
    const auto [found, fresh] = peers_.try_emplace(report.daemon_);
    const std::uint64_t before = found->second.report_.allowed_;
    // A restarted daemon counts from zero again.
    if (!fresh && report.allowed_ >= before)
        total_seen_ += report.allowed_ - before;
    found->second.report_ = report;
    found->second.heard_at_ = now;
}


demand_report shared_limit::report(base::time_point now)
{
    measure_demand(now);
    drop_old_peers(now);
    settle_credit(now);
    const double repair = credit_ / to_seconds(sharing_.recovery_);
    const double total = std::max(per_second_ + repair, 0.0);
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
    if (length < sharing_.window_)
        return;
    demand_ = static_cast<double>(asked_) / to_seconds(length);
    asked_ = 0;
    window_start_ = now;
}


void shared_limit::drop_old_peers(base::time_point now)
{
    std::erase_if(peers_, [&](const auto& item) {
        return now - item.second.heard_at_ > sharing_.report_age_;
    });
}


// Credit is what the stated rate allowed since the last look, less what all
// daemons used. It grows only while somebody asks for more than the rate.
void shared_limit::settle_credit(base::time_point now)
{
    double demand = demand_;
    for (const auto& [daemon, p] : peers_)
        demand += p.report_.demand_;
    const double seconds = to_seconds(now - credit_at_);
    credit_at_ = now;
    credit_ += std::min(per_second_, demand) * seconds;
    credit_ -= static_cast<double>(total_seen_);
    total_seen_ = 0;
    const double bound = per_second_ * to_seconds(sharing_.max_credit_);
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
    return (1 - sharing_.even_share_) * by_demand + sharing_.even_share_ * even;
}

} // namespace monsoondock::routing

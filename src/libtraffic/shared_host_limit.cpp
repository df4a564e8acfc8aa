#include <monsoondock/traffic/shared_host_limit.hpp>

#include <algorithm>

namespace monsoondock::traffic {

void shared_host_limit::state(const limit_statement& statement)
{
    const std::scoped_lock lock(mutex_);
    hostlimits::state_limit(
        limit_, statement.per_second_, statement.stated_at_);
}


bool shared_host_limit::state_response(
    std::string_view limit, base::time_point now)
{
    const auto named = hostlimits::parse_limit(limit);
    if (!limit.empty() && !named)
        return false;
    const std::scoped_lock lock(mutex_);
    if (named || hostlimits::is_limited(limit_, now))
        hostlimits::state_limit(limit_, named.value_or(0), now);
    return true;
}


void shared_host_limit::pause_until(base::time_point time)
{
    const std::scoped_lock lock(mutex_);
    paused_until_ = std::max(paused_until_, time);
}


void shared_host_limit::update_share(
    const base::host_id& upstream,
    const base::daemon_id& self,
    const std::vector<base::daemon_id>& others,
    base::time_point now)
{
    const std::scoped_lock lock(mutex_);
    if (!hostlimits::is_limited(limit_, now))
        return;
    hostlimits::set_share(
        limit_,
        hostlimits::share_of_limit(limit_.per_second_, upstream, self, others),
        now);
}


bool shared_host_limit::may_send(base::time_point now) const
{
    const std::scoped_lock lock(mutex_);
    return now >= paused_until_ && hostlimits::may_send(limit_, now);
}


void shared_host_limit::record_send(base::time_point now)
{
    const std::scoped_lock lock(mutex_);
    if (hostlimits::is_limited(limit_, now))
        hostlimits::record_send(limit_, now);
}


std::optional<limit_statement>
shared_host_limit::statement(base::time_point now) const
{
    const std::scoped_lock lock(mutex_);
    if (limit_.stated_at_ == base::time_point() ||
        now - limit_.stated_at_ >= hostlimits::limit_memory)
        return std::nullopt;
    return limit_statement{limit_.per_second_, limit_.stated_at_};
}

} // namespace monsoondock::traffic

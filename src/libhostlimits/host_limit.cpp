#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/hostlimits/host_limit.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace monsoondock::hostlimits {

namespace {

// Daemons beyond one for each request a second that share a limit.
constexpr std::size_t further_daemons = 2;


// Daemons that share the limit of a cold host, for each request a second of it.
// A host may get half its limit and five requests more than the limit in a
// second; half of that is left for daemons that know too few others.
constexpr double cold_burst_part = 0.25;


using seconds = std::chrono::duration<double>;


double level_at(const host_limit& limit, base::time_point now)
{
    const seconds passed = now - limit.level_at_;
    return std::min(1.0, limit.level_ + limit.share_ * passed.count());
}


// The pair orders daemons with equal hashes.
std::pair<std::uint64_t, std::string_view>
rank_of(const base::daemon_id& daemon, std::uint64_t host)
{
    return {base::stable_hash(daemon.value_, host), daemon.value_};
}

// Returns how many of the others have a share in the limit of a host before
// this daemon.
std::size_t daemons_before(
    const base::daemon_id& self,
    const std::vector<base::daemon_id>& others,
    const base::host_id& host)
{
    const std::uint64_t hash = base::stable_hash(host.value_);
    const auto own = rank_of(self, hash);
    return static_cast<std::size_t>(std::count_if(
        others.begin(), others.end(), [&](const base::daemon_id& other) {
            return rank_of(other, hash) < own;
        }));
}

} // namespace

std::optional<double> parse_limit(std::string_view text)
{
    double value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] =
        std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (failure != std::errc() || stop != end || !std::isfinite(value) ||
        value < 0)
        return std::nullopt;
    return std::clamp(value, min_limit_per_second, max_limit_per_second);
}


std::size_t sharing_daemons(double per_second, std::size_t daemons)
{
    return std::min(
        daemons, static_cast<std::size_t>(per_second) + further_daemons);
}


double share_of_limit(
    double per_second,
    const base::host_id& host,
    const base::daemon_id& self,
    const std::vector<base::daemon_id>& others)
{
    const std::size_t sharing = sharing_daemons(per_second, others.size() + 1);
    return daemons_before(self, others, host) < sharing
               ? per_second / double(sharing)
               : 0;
}


double share_of_cold_limit(
    double per_second,
    const base::host_id& host,
    const base::daemon_id& self,
    const std::vector<base::daemon_id>& others)
{
    const std::size_t sharing =
        static_cast<std::size_t>(per_second * cold_burst_part) +
        further_daemons;
    return daemons_before(self, others, host) < sharing
               ? per_second / double(sharing)
               : 0;
}


void limit_until(
    host_limit& limit,
    double per_second,
    base::time_point end,
    base::time_point now)
{
    if (!is_limited(limit, now)) {
        limit.share_ = 0;
        limit.level_ = 0;
        limit.level_at_ = now;
    }
    limit.per_second_ = per_second;
    limit.stated_at_ = end - limit_memory;
}


bool state_limit(
    host_limit& limit, double per_second, base::time_point stated_at)
{
    if (stated_at < limit.stated_at_)
        return false;
    limit.stated_at_ = stated_at;
    return std::exchange(limit.per_second_, per_second) != per_second;
}


void set_share(host_limit& limit, double share, base::time_point now)
{
    limit.level_ = level_at(limit, now);
    limit.level_at_ = now;
    limit.share_ = share;
}


bool is_limited(const host_limit& limit, base::time_point now)
{
    return limit.per_second_ > 0 && now - limit.stated_at_ < limit_memory;
}


bool may_send(const host_limit& limit, base::time_point now)
{
    return !is_limited(limit, now) ||
           (limit.share_ > 0 && level_at(limit, now) >= 1);
}


void record_send(host_limit& limit, base::time_point now)
{
    limit.level_ = std::max(0.0, level_at(limit, now) - 1);
    limit.level_at_ = now;
}


std::optional<base::time_point>
next_send(const host_limit& limit, base::time_point now)
{
    if (may_send(limit, now))
        return now;
    if (limit.share_ <= 0)
        return std::nullopt;
    const seconds wait((1 - level_at(limit, now)) / limit.share_);
    return now + std::chrono::ceil<std::chrono::milliseconds>(wait);
}

} // namespace monsoondock::hostlimits

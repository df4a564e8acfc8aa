#include <monsoondock/base/rendezvous.hpp>
#include <monsoondock/claims/call_key.hpp>
#include <monsoondock/claims/claim_record.hpp>
#include <monsoondock/claims/sweep.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>

namespace monsoondock::claims {

namespace {

struct candidate
{
    wall_time claimed_at_;
    expired_claim claim_;
};


std::chrono::milliseconds
retention_of(const claim_record& record, const retention_lookup& retention)
{
    const claim_retention kept = retention(record.call_.service_);
    if (record.phase_ == claim_phase::finished)
        return kept.finished_;
    return kept.unresolved_;
}


std::optional<candidate> find_expired(
    const platform::object& object,
    const retention_lookup& retention,
    wall_time now)
{
    const auto decoded = decode_claim(object.value_);
    if (!base::ok(decoded))
        return std::nullopt;
    const claim_record& record = base::value(decoded);
    if (now - record.claimed_at_ <= retention_of(record, retention))
        return std::nullopt;
    return candidate{record.claimed_at_, {object.key_, object.version_}};
}

} // namespace


std::string sweep_prefix(unsigned range)
{
    std::array<char, 4> digits{};
    std::snprintf(
        digits.data(), digits.size(), "%03x", range % SWEEP_RANGE_COUNT);
    return std::string(CLAIM_PREFIX) + digits.data();
}


bool is_sweeper(
    unsigned range,
    const base::daemon_id& self,
    const std::vector<base::daemon_id>& members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const base::daemon_id& member : members)
        names.push_back(member.value_);
    std::sort(names.begin(), names.end());
    const auto first = base::rendezvous_order(sweep_prefix(range), names, 1);
    return !first.empty() && names[first.front()] == self.value_;
}


std::vector<expired_claim> plan_sweep(
    const platform::listing& range,
    const retention_lookup& retention,
    wall_time now,
    std::size_t limit)
{
    std::vector<candidate> expired;
    for (const platform::object& object : range.objects_)
        if (auto found = find_expired(object, retention, now))
            expired.push_back(std::move(*found));
    std::stable_sort(
        expired.begin(),
        expired.end(),
        [](const candidate& a, const candidate& b) {
            return a.claimed_at_ < b.claimed_at_;
        });
    expired.resize(std::min(limit, expired.size()));
    std::vector<expired_claim> plan;
    plan.reserve(expired.size());
    for (candidate& c : expired)
        plan.push_back(std::move(c.claim_));
    return plan;
}

} // namespace monsoondock::claims

#include "table_sync.hpp"

#include "send.hpp"

#include <algorithm>

namespace monsoondock::membership::pvt {

namespace {

/// Number of differing digest buckets from which the shorter catch-up period
/// applies.
constexpr std::size_t LARGE_DIFFERENCE_BUCKETS = 4;

/// Number of seeds contacted at once.
constexpr std::size_t MAX_SEEDS_PER_ATTEMPT = 2;


using bucket_flags = std::array<bool, DIGEST_BUCKETS>;


bucket_flags differing_buckets(const table_digest& a, const table_digest& b)
{
    bucket_flags flags{};
    for (std::size_t i = 0; i < DIGEST_BUCKETS; ++i)
        flags[i] = a[i] != b[i];
    return flags;
}


std::vector<member_record> records_in_buckets(
    step& s, const bucket_flags& wanted, const base::daemon_id& self)
{
    std::vector<member_record> records;
    for (const auto& [id, other] : s.node_.members_) {
        if (wanted[bucket_of(id)])
            records.push_back(other.record_);
    }
    // Not all records may fit into one datagram; a random order lets repeated
    // synchronizations transfer all of them.
    std::shuffle(records.begin(), records.end(), s.node_.random_);
    if (wanted[bucket_of(self)])
        records.insert(records.begin(), s.node_.self_);
    return records;
}


void send_sync(step& s, const endpoint& to)
{
    const auto digest = digest_of(s.node_.self_, s.node_.members_);
    send_to(s, to, sync{true, digest}, {s.node_.self_});
}


/// Returns the seeds that are neither this node nor a live member.
std::vector<endpoint> unknown_seeds(const node_state& node)
{
    std::vector<endpoint> unknown;
    for (const endpoint& seed : node.seeds_) {
        const bool known = std::any_of(
            node.members_.begin(), node.members_.end(), [&](const auto& m) {
                return m.second.record_.peer_ == seed &&
                       m.second.record_.state_ != member_state::dead;
            });
        if (!known && seed != node.self_.peer_)
            unknown.push_back(seed);
    }
    return unknown;
}


void contact_seeds(step& s)
{
    node_state& node = s.node_;
    if (s.now_ < node.next_due_.seed_)
        return;
    const bool no_live_members = count_live_members(node) == 1;
    node.next_due_.seed_ =
        s.now_ + (no_live_members ? node.config_.join_period_
                                  : node.config_.seed_period_);
    std::vector<endpoint> chosen;
    const std::vector<endpoint> unknown = unknown_seeds(node);
    std::sample(
        unknown.begin(),
        unknown.end(),
        std::back_inserter(chosen),
        MAX_SEEDS_PER_ATTEMPT,
        node.random_);
    for (const endpoint& seed : chosen)
        send_sync(s, seed);
}


void schedule_next(step& s, std::size_t differing_count)
{
    node_state& node = s.node_;
    const bool large = differing_count >= LARGE_DIFFERENCE_BUCKETS;
    const base::duration period =
        large ? node.config_.catch_up_period_ : node.config_.sync_period_;
    node.next_due_.sync_ = s.now_ + period / 2 + random_duration(node, period);
}

} // namespace

void sync_tables(step& s)
{
    node_state& node = s.node_;
    contact_seeds(s);
    if (s.now_ < node.next_due_.sync_)
        return;
    const auto partner = random_live_members(s, 1, node.self_.id_);
    if (partner.empty())
        return;
    schedule_next(s, 0);
    send_sync(s, partner[0]->record_.peer_);
}


void handle_sync(step& s, const sync& received, const endpoint& from)
{
    const auto own = digest_of(s.node_.self_, s.node_.members_);
    const bucket_flags wanted = differing_buckets(own, received.digest_);
    const auto differing_count = static_cast<std::size_t>(
        std::count(wanted.begin(), wanted.end(), true));
    if (differing_count == 0 && !received.wants_reply_)
        return;
    const auto records = records_in_buckets(s, wanted, s.node_.self_.id_);
    if (received.wants_reply_)
        return send_to(s, from, sync{false, own}, records);
    schedule_next(s, differing_count);
    send_to(s, from, gossip{}, records);
}


void request_record(step& s, const base::daemon_id& id, const endpoint& at)
{
    node_state& node = s.node_;
    const auto found = node.members_.find(id);
    const bool known = found != node.members_.end();
    base::time_point& last_request = known ? found->second.record_requested_at_
                                           : node.unknown_record_requested_at_;
    if (s.now_ - last_request < node.config_.catch_up_period_)
        return;
    last_request = s.now_;
    send_sync(s, at);
}

} // namespace monsoondock::membership::pvt

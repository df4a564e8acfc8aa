#include "merge.hpp"

#include "member_state_machine.hpp"

#include <algorithm>
#include <limits>

namespace monsoondock::membership::pvt {

namespace {

/// Largest number of members with a changed status queued for status rows.
constexpr std::size_t MAX_RECENT_STATUSES = 64;


/// A claim with the highest possible incarnation could never be refuted.
bool refutable(incarnation i)
{
    return i.value_ < std::numeric_limits<std::uint64_t>::max();
}


/// Returns true when the claim overrides the state that this node announces.
bool contradicts_self(const member_record& self, const member_record& received)
{
    if (received.incarnation_ != self.incarnation_)
        return received.incarnation_ > self.incarnation_;
    return received.state_ > self.state_;
}


void refute(step& s, const member_record& received)
{
    node_state& node = s.node_;
    if (!node.config_.safeguards_.refutes_)
        return;
    if (!contradicts_self(node.self_, received) ||
        !refutable(received.incarnation_))
        return;
    if (node.self_.state_ == member_state::dead)
        return;
    node.self_.incarnation_.value_ = received.incarnation_.value_ + 1;
    node.updates_.requeue(node.self_.id_);
    node.urgent_ = true;
    ++node.counters_.refutations_;
    s.out_.events_.push_back(self_refuted{node.self_.incarnation_});
}


void insert_into_probe_order(node_state& node, const base::daemon_id& id)
{
    std::uniform_int_distribution<std::size_t> any(
        std::min(node.probe_position_, node.probe_order_.size()),
        node.probe_order_.size());
    const auto place = static_cast<std::ptrdiff_t>(any(node.random_));
    node.probe_order_.insert(node.probe_order_.begin() + place, id);
}


void add_member(step& s, const member_record& received)
{
    // A dead member that was never in the table needs no entry.
    if (received.state_ == member_state::dead ||
        !refutable(received.incarnation_))
        return;
    node_state& node = s.node_;
    node.members_.emplace(received.id_, member{received, s.now_, {}});
    node.names_by_hash_[name_hash(received.id_)] = received.id_;
    insert_into_probe_order(node, received.id_);
    queue_update(s, received.id_);
    s.out_.events_.push_back(member_changed{received, std::nullopt});
    record_revision(s, received.status_.settings_revision_, received.peer_);
}


std::optional<member_state> evaluate_claim(
    const node_state& node,
    const member_record& current,
    const member_record& received)
{
    const bool checks_incarnation =
        node.config_.safeguards_.compares_incarnations_;
    const incarnation current_incarnation =
        checks_incarnation ? current.incarnation_ : incarnation{};
    return after_claim(
        {current.state_, current_incarnation},
        {received.state_, received.incarnation_});
}


void record_status_change(step& s, const member_record& record)
{
    auto& recent = s.node_.recent_statuses_;
    recent.push_front(record.id_);
    if (recent.size() > MAX_RECENT_STATUSES)
        recent.pop_back();
    record_revision(s, record.status_.settings_revision_, record.peer_);
}


void apply_status(step& s, member& other, const member_status& status)
{
    member_record& current = other.record_;
    const bool mode_changed = current.status_.entry_mode_ != status.entry_mode_;
    current.status_ = status;
    record_status_change(s, current);
    if (mode_changed) {
        queue_update(s, current.id_);
        s.node_.urgent_ = true;
    }
    s.out_.events_.push_back(status_changed{current.id_, status});
}


/// Applies a claim that the state machine accepted.
void apply_claim(
    step& s, member& other, const member_record& received, member_state next)
{
    const member_record before = other.record_;
    if (received.incarnation_ != before.incarnation_)
        other.record_ = received;
    other.record_.state_ = next;
    if (next != before.state_ || received.incarnation_ != before.incarnation_)
        other.state_changed_at_ = s.now_;
    if (other.record_.status_ != before.status_)
        record_status_change(s, other.record_);
    queue_update(s, received.id_);
    if (next == member_state::leaving)
        s.node_.urgent_ = true;
    s.out_.events_.push_back(member_changed{other.record_, before.state_});
}


bool has_newer_status(
    const member_record& current, const member_record& received)
{
    return received.incarnation_ == current.incarnation_ &&
           received.status_.sequence_ > current.status_.sequence_;
}

} // namespace

void record_revision(step& s, std::uint64_t revision, const endpoint& from)
{
    if (revision <= s.node_.highest_revision_)
        return;
    s.node_.highest_revision_ = revision;
    s.node_.urgent_ = true;
    s.out_.events_.push_back(revision_seen{revision, from});
}


void change_state(step& s, member& other, member_state next)
{
    const member_state previous = other.record_.state_;
    other.record_.state_ = next;
    other.state_changed_at_ = s.now_;
    s.node_.updates_.requeue(other.record_.id_);
    s.out_.events_.push_back(member_changed{other.record_, previous});
}


void merge_record(step& s, const member_record& received)
{
    if (received.id_ == s.node_.self_.id_)
        return refute(s, received);
    const auto found = s.node_.members_.find(received.id_);
    if (found == s.node_.members_.end())
        return add_member(s, received);
    member& other = found->second;
    const auto next = evaluate_claim(s.node_, other.record_, received);
    if (next && refutable(received.incarnation_))
        apply_claim(s, other, received, *next);
    if (has_newer_status(other.record_, received))
        apply_status(s, other, received.status_);
}


void merge_row(step& s, const status_row& row)
{
    const auto name = s.node_.names_by_hash_.find(row.name_hash_);
    if (name == s.node_.names_by_hash_.end())
        return;
    const auto found = s.node_.members_.find(name->second);
    if (found == s.node_.members_.end())
        return;
    const member_record& current = found->second.record_;
    const auto low = static_cast<std::uint32_t>(current.incarnation_.value_);
    if (low != row.incarnation_low_)
        return;
    if (row.status_.sequence_ > current.status_.sequence_)
        apply_status(s, found->second, row.status_);
}


bool merge_sender(step& s, const sender_header& sender, const endpoint& from)
{
    record_revision(s, sender.highest_revision_, from);
    const auto found = s.node_.members_.find(sender.id_);
    if (found == s.node_.members_.end())
        return sender.state_ != member_state::dead;
    member_record received = found->second.record_;
    // The header has no addresses, so a member that restarted at another one
    // must send its full record.
    if (received.peer_ != from)
        return sender.incarnation_ > received.incarnation_;
    received.incarnation_ = sender.incarnation_;
    received.state_ = sender.state_;
    received.status_ = sender.status_;
    merge_record(s, received);
    return false;
}

} // namespace monsoondock::membership::pvt

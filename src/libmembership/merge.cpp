#include "merge.hpp"

#include "member_machine.hpp"

#include <algorithm>
#include <limits>

namespace monsoondock::membership::pvt {

namespace {

/// Largest number of members whose changed status waits for its row.
constexpr std::size_t MAX_RECENT_STATUSES = 64;


/// A claim with the last incarnation could never be refuted.
bool refutable(incarnation i)
{
    return i.value_ < std::numeric_limits<std::uint64_t>::max();
}


/// Returns true when the claim contradicts what this node is.
bool denies_self(const member_record& self, const member_record& heard)
{
    if (heard.incarnation_ != self.incarnation_)
        return heard.incarnation_ > self.incarnation_;
    return heard.state_ > self.state_;
}


void refute(step& s, const member_record& heard)
{
    node_state& node = s.node_;
    if (!node.config_.safeguards_.refutes_)
        return;
    if (!denies_self(node.self_, heard) || !refutable(heard.incarnation_))
        return;
    if (node.self_.state_ == member_state::dead)
        return;
    node.self_.incarnation_.value_ = heard.incarnation_.value_ + 1;
    node.updates_.restart(node.self_.id_);
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


void add_member(step& s, const member_record& heard)
{
    // A dead member that was never known here is of no use to this node.
    if (heard.state_ == member_state::dead || !refutable(heard.incarnation_))
        return;
    node_state& node = s.node_;
    node.members_.emplace(heard.id_, member{heard, s.now_, {}});
    node.names_[name_hash(heard.id_)] = heard.id_;
    insert_into_probe_order(node, heard.id_);
    spread(s, heard.id_);
    s.out_.events_.push_back(member_changed{heard, std::nullopt});
    note_revision(s, heard.status_.settings_revision_, heard.peer_);
}


std::optional<member_state>
judge(const node_state& node, const member_record& held, const member_record& h)
{
    const bool compares = node.config_.safeguards_.compares_incarnations_;
    const incarnation known = compares ? held.incarnation_ : incarnation{};
    return after_claim({held.state_, known}, {h.state_, h.incarnation_});
}


void note_status(step& s, const member_record& record)
{
    auto& recent = s.node_.recent_statuses_;
    recent.push_front(record.id_);
    if (recent.size() > MAX_RECENT_STATUSES)
        recent.pop_back();
    note_revision(s, record.status_.settings_revision_, record.peer_);
}


void take_status(step& s, member& other, const member_status& status)
{
    member_record& held = other.record_;
    const bool mode_changed = held.status_.entry_mode_ != status.entry_mode_;
    held.status_ = status;
    note_status(s, held);
    if (mode_changed) {
        spread(s, held.id_);
        s.node_.urgent_ = true;
    }
    s.out_.events_.push_back(status_changed{held.id_, status});
}


/// Takes a claim that the state machine accepted.
void take_claim(
    step& s, member& other, const member_record& heard, member_state next)
{
    const member_record before = other.record_;
    if (heard.incarnation_ != before.incarnation_)
        other.record_ = heard;
    other.record_.state_ = next;
    if (next != before.state_ || heard.incarnation_ != before.incarnation_)
        other.changed_ = s.now_;
    if (other.record_.status_ != before.status_)
        note_status(s, other.record_);
    spread(s, heard.id_);
    if (next == member_state::leaving)
        s.node_.urgent_ = true;
    s.out_.events_.push_back(member_changed{other.record_, before.state_});
}


bool has_newer_status(const member_record& held, const member_record& heard)
{
    return heard.incarnation_ == held.incarnation_ &&
           heard.status_.sequence_ > held.status_.sequence_;
}

} // namespace

void note_revision(step& s, std::uint64_t revision, const endpoint& from)
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
    other.changed_ = s.now_;
    s.node_.updates_.restart(other.record_.id_);
    s.out_.events_.push_back(member_changed{other.record_, previous});
}


void merge_record(step& s, const member_record& heard)
{
    if (heard.id_ == s.node_.self_.id_)
        return refute(s, heard);
    const auto found = s.node_.members_.find(heard.id_);
    if (found == s.node_.members_.end())
        return add_member(s, heard);
    member& other = found->second;
    const auto next = judge(s.node_, other.record_, heard);
    if (next && refutable(heard.incarnation_))
        take_claim(s, other, heard, *next);
    if (has_newer_status(other.record_, heard))
        take_status(s, other, heard.status_);
}


void merge_row(step& s, const status_row& row)
{
    const auto name = s.node_.names_.find(row.name_hash_);
    if (name == s.node_.names_.end())
        return;
    const auto found = s.node_.members_.find(name->second);
    if (found == s.node_.members_.end())
        return;
    const member_record& held = found->second.record_;
    const auto low = static_cast<std::uint32_t>(held.incarnation_.value_);
    if (low != row.incarnation_low_)
        return;
    if (row.status_.sequence_ > held.status_.sequence_)
        take_status(s, found->second, row.status_);
}


bool merge_sender(step& s, const sender_header& sender, const endpoint& from)
{
    note_revision(s, sender.highest_revision_, from);
    const auto found = s.node_.members_.find(sender.id_);
    if (found == s.node_.members_.end())
        return sender.state_ != member_state::dead;
    member_record heard = found->second.record_;
    if (heard.peer_ != from)
        return sender.incarnation_ > heard.incarnation_;
    heard.incarnation_ = sender.incarnation_;
    heard.state_ = sender.state_;
    heard.status_ = sender.status_;
    merge_record(s, heard);
    return false;
}

} // namespace monsoondock::membership::pvt

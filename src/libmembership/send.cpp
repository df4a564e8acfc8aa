#include "send.hpp"

#include "message_codec.hpp"

#include <algorithm>

namespace monsoondock::membership::pvt {

namespace {

/// Largest number of records per message; the count is encoded in one byte.
constexpr std::size_t MAX_RECORDS_PER_MESSAGE = 255;

/// Number of queued updates considered per message; more than fit into one
/// datagram.
constexpr std::size_t MAX_UPDATES_PER_MESSAGE = 32;


sender_header make_header(const node_state& node)
{
    return {
        node.self_.id_,
        node.self_.incarnation_,
        node.self_.state_,
        node.self_.status_,
        node.highest_revision_};
}


/// Message under construction and its remaining space in bytes.
struct message_draft
{
    message message_;
    std::size_t remaining_bytes_ = 0;
};


message_draft make_draft(const node_state& node, message_body body)
{
    message_draft d{{make_header(node), std::move(body), {}, {}}, 0};
    const std::size_t used = encode(d.message_).size();
    d.remaining_bytes_ = used < MAX_BODY_BYTES ? MAX_BODY_BYTES - used : 0;
    return d;
}


bool add_record(message_draft& d, const member_record& record)
{
    const std::size_t bytes = encoded_size(record);
    if (bytes > d.remaining_bytes_ ||
        d.message_.records_.size() == MAX_RECORDS_PER_MESSAGE)
        return false;
    d.remaining_bytes_ -= bytes;
    d.message_.records_.push_back(record);
    return true;
}


const member_record*
find_record(const node_state& node, const base::daemon_id& id)
{
    if (id == node.self_.id_)
        return &node.self_;
    const auto found = node.members_.find(id);
    return found == node.members_.end() ? nullptr : &found->second.record_;
}


bool contains_record(const message_draft& d, const base::daemon_id& id)
{
    return std::any_of(
        d.message_.records_.begin(),
        d.message_.records_.end(),
        [&](const member_record& r) { return r.id_ == id; });
}


void add_updates(node_state& node, message_draft& d)
{
    if (node.updates_.empty())
        return;
    const std::size_t limit = transmit_limit(node);
    for (const base::daemon_id& id :
         node.updates_.next_ids(MAX_UPDATES_PER_MESSAGE)) {
        const member_record* const record = find_record(node, id);
        if (record == nullptr || contains_record(d, id))
            continue;
        if (!add_record(d, *record))
            return;
        node.updates_.record_transmission(id, limit);
    }
}


bool add_row(message_draft& d, const member_record& record)
{
    if (ROW_BYTES > d.remaining_bytes_)
        return false;
    d.remaining_bytes_ -= ROW_BYTES;
    d.message_.rows_.push_back(make_row(record));
    return true;
}


void add_recent_rows(node_state& node, message_draft& d, std::size_t count)
{
    while (count > 0 && !node.recent_statuses_.empty()) {
        const base::daemon_id id = node.recent_statuses_.front();
        node.recent_statuses_.pop_front();
        const member_record* const record = find_record(node, id);
        if (record != nullptr && !add_row(d, *record))
            return;
        --count;
    }
}


void add_round_robin_rows(node_state& node, message_draft& d)
{
    const std::size_t wanted =
        std::min(node.config_.status_rows_, node.members_.size());
    while (d.message_.rows_.size() < wanted) {
        auto next = node.members_.upper_bound(node.row_cursor_);
        if (next == node.members_.end())
            next = node.members_.begin();
        node.row_cursor_ = next->first;
        if (!add_row(d, next->second.record_))
            return;
    }
}

} // namespace

void send_to(
    step& s,
    const endpoint& to,
    message_body body,
    const std::vector<member_record>& priority_records)
{
    message_draft d = make_draft(s.node_, std::move(body));
    for (const member_record& record : priority_records)
        add_record(d, record);
    add_updates(s.node_, d);
    add_recent_rows(s.node_, d, s.node_.config_.status_rows_ / 2);
    add_round_robin_rows(s.node_, d);
    s.out_.datagrams_.push_back({to, encode(d.message_)});
    ++s.node_.counters_.datagrams_sent_;
}


void send(step& s, const member_record& target, message_body body)
{
    std::vector<member_record> priority_records;
    const bool needs_refutation = target.state_ == member_state::suspect ||
                                  target.state_ == member_state::dead;
    if (needs_refutation)
        priority_records.push_back(target);
    send_to(s, target.peer_, std::move(body), priority_records);
}


void send_urgent_updates(step& s)
{
    node_state& node = s.node_;
    if (!node.urgent_ || s.now_ < node.next_due_.urgent_)
        return;
    node.urgent_ = false;
    node.next_due_.urgent_ = s.now_ + node.config_.urgent_period_;
    const auto targets =
        random_live_members(s, node.config_.urgent_fanout_, node.self_.id_);
    for (const member* target : targets)
        send(s, target->record_, gossip{});
}

} // namespace monsoondock::membership::pvt

#include "send.hpp"

#include "message_codec.hpp"

#include <algorithm>

namespace monsoondock::membership::pvt {

namespace {

/// Largest number of records or rows that the counts in a message can hold.
constexpr std::size_t MAX_LIST_ITEMS = 255;

/// More waiting updates than fit into one datagram.
constexpr std::size_t MAX_UPDATES = 32;


sender_header make_header(const node_state& node)
{
    return {
        node.self_.id_,
        node.self_.incarnation_,
        node.self_.state_,
        node.self_.status_,
        node.highest_revision_};
}


/// Message under construction and the bytes that are left in it.
struct draft
{
    message message_;
    std::size_t left_ = 0;
};


draft start_draft(const node_state& node, message_body body)
{
    draft d{{make_header(node), std::move(body), {}, {}}, 0};
    const std::size_t used = encode(d.message_).size();
    d.left_ = used < MAX_BODY_BYTES ? MAX_BODY_BYTES - used : 0;
    return d;
}


bool add_record(draft& d, const member_record& record)
{
    const std::size_t bytes = encoded_size(record);
    if (bytes > d.left_ || d.message_.records_.size() == MAX_LIST_ITEMS)
        return false;
    d.left_ -= bytes;
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


bool holds(const draft& d, const base::daemon_id& id)
{
    return std::any_of(
        d.message_.records_.begin(),
        d.message_.records_.end(),
        [&](const member_record& r) { return r.id_ == id; });
}


void add_updates(node_state& node, draft& d)
{
    if (node.updates_.empty())
        return;
    const std::size_t limit = transmit_limit(node);
    for (const base::daemon_id& id : node.updates_.first(MAX_UPDATES)) {
        const member_record* const record = find_record(node, id);
        if (record == nullptr || holds(d, id))
            continue;
        if (!add_record(d, *record))
            return;
        node.updates_.count_sent(id, limit);
    }
}


bool add_row(draft& d, const member_record& record)
{
    if (ROW_BYTES > d.left_)
        return false;
    d.left_ -= ROW_BYTES;
    d.message_.rows_.push_back(make_row(record));
    return true;
}


void add_recent_rows(node_state& node, draft& d, std::size_t count)
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


void add_rows_in_turn(node_state& node, draft& d)
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
    const std::vector<member_record>& first)
{
    draft d = start_draft(s.node_, std::move(body));
    for (const member_record& record : first)
        add_record(d, record);
    add_updates(s.node_, d);
    add_recent_rows(s.node_, d, s.node_.config_.status_rows_ / 2);
    add_rows_in_turn(s.node_, d);
    s.out_.datagrams_.push_back({to, encode(d.message_)});
    ++s.node_.counters_.datagrams_sent_;
}


void send(step& s, const member_record& target, message_body body)
{
    std::vector<member_record> first;
    const bool denied = target.state_ == member_state::suspect ||
                        target.state_ == member_state::dead;
    if (denied)
        first.push_back(target);
    send_to(s, target.peer_, std::move(body), first);
}


void spread_urgent(step& s)
{
    node_state& node = s.node_;
    if (!node.urgent_ || s.now_ < node.due_.urgent_)
        return;
    node.urgent_ = false;
    node.due_.urgent_ = s.now_ + node.config_.urgent_period_;
    const auto targets =
        random_members(s, node.config_.urgent_fanout_, node.self_.id_);
    for (const member* target : targets)
        send(s, target->record_, gossip{});
}

} // namespace monsoondock::membership::pvt

#include "peer_inbox.hpp"

#include "peer_message.hpp"

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace {

std::size_t index_of(message_priority p)
{
    return static_cast<std::size_t>(p);
}


void drop_oldest(std::deque<received_datagram>& waiting, std::uint64_t& dropped)
{
    waiting.pop_front();
    ++dropped;
}

} // namespace

void peer_inbox::push(received_datagram d)
{
    queue& q = queue_of(priority_of(d.bytes_));
    if (q.waiting_.size() >= max_kept_messages)
        drop_oldest(q.waiting_, q.dropped_);
    q.waiting_.push_back(std::move(d));
}


std::optional<received_datagram> peer_inbox::pop(base::time_point now)
{
    queue& evidence = queue_of(message_priority::evidence);
    while (!evidence.waiting_.empty() &&
           now - evidence.waiting_.front().received_at_ > max_evidence_age)
        drop_oldest(evidence.waiting_, evidence.dropped_);
    for (queue& q : queues_) {
        if (q.waiting_.empty())
            continue;
        received_datagram next = std::move(q.waiting_.front());
        q.waiting_.pop_front();
        return next;
    }
    return std::nullopt;
}


bool peer_inbox::empty() const noexcept
{
    return std::all_of(queues_.begin(), queues_.end(), [](const queue& q) {
        return q.waiting_.empty();
    });
}


std::uint64_t peer_inbox::dropped(message_priority p) const
{
    return queues_.at(index_of(p)).dropped_;
}


peer_inbox::queue& peer_inbox::queue_of(message_priority p)
{
    return queues_.at(index_of(p));
}

} // namespace monsoondock::entry::pvt

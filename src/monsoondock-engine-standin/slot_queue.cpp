#include "slot_queue.hpp"

namespace monsoondock::engine_standin {

namespace {

void grant(slot_queue& q, job& j)
{
    ++q.running_;
    j.granted_ = true;
    j.wake_timer_.cancel();
}


void grant_next(slot_queue& q)
{
    if (q.waiting_.empty() || q.running_ >= q.slots_)
        return;
    job& next = *q.waiting_.begin()->second;
    q.waiting_.erase(q.waiting_.begin());
    grant(q, next);
}

} // namespace

void acquire_slot(slot_queue& q, job& j)
{
    if (q.running_ < q.slots_)
        grant(q, j);
    else
        q.waiting_.emplace(j.priority_, &j);
}


void release_slot(slot_queue& q, job& j)
{
    if (j.granted_) {
        --q.running_;
        grant_next(q);
        return;
    }
    std::erase_if(
        q.waiting_, [&](const auto& entry) { return entry.second == &j; });
}

} // namespace monsoondock::engine_standin

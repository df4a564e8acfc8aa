#pragma once

#include "job.hpp"

#include <cstddef>
#include <map>

namespace monsoondock::engine_standin {

/// Slots of the inference batch and the jobs waiting for one, ordered by
/// priority and then by arrival.
struct slot_queue
{
    std::size_t slots_ = 0;
    std::size_t running_ = 0;
    std::multimap<int, job*> waiting_;
};


/// Grants the job a slot if one is free, otherwise queues it.
void acquire_slot(slot_queue& q, job& j);


/// Removes the job; a slot that it held is granted to the next queued job.
void release_slot(slot_queue& q, job& j);

} // namespace monsoondock::engine_standin

#pragma once

#include "job.hpp"

#include <cstddef>
#include <map>

namespace monsoondock::engine_standin {

/// Slots of the batch and the jobs that wait for one, by priority and then
/// in order of arrival.
struct slot_queue
{
    std::size_t slots_ = 0;
    std::size_t running_ = 0;
    std::multimap<int, job*> waiting_;
};


/// Gives the job a slot or lets it wait.
void enter(slot_queue& q, job& j);


/// Takes the job out and gives its slot to the next one.
void leave(slot_queue& q, job& j);

} // namespace monsoondock::engine_standin

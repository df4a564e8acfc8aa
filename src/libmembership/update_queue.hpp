#pragma once

#include <monsoondock/base/identifier.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::membership::pvt {

/// Queue of members whose records are to be disseminated, each a bounded number
/// of times. Stores names only, so that the latest version of a record is sent.
class update_queue
{
public:
    /// Queues a member's record at the front with a transmission count of zero.
    void requeue(const base::daemon_id& id);


    /// Removes a member from the queue.
    void erase(const base::daemon_id& id);


    /// Returns up to count names in sending order: fewest transmissions first.
    std::vector<base::daemon_id> next_ids(std::size_t count) const;


    /// Counts one transmission of id and removes it after limit transmissions.
    void record_transmission(const base::daemon_id& id, std::size_t limit);


    bool empty() const noexcept
    {
        return entries_.empty();
    }

private:
    struct entry
    {
        base::daemon_id id_;
        std::size_t transmissions_ = 0;
    };

    std::vector<entry> entries_;
};

} // namespace monsoondock::membership::pvt

#pragma once

#include <monsoondock/base/identifier.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::membership::pvt {

/// Members whose records still have to be spread, each a bounded number of
/// times. Holds names only, so a record goes out in its latest form.
class update_queue
{
public:
    /// Starts the spread of a member's record anew.
    void restart(const base::daemon_id& id);


    /// Drops a member.
    void erase(const base::daemon_id& id);


    /// Returns up to count names in the order in which they should go out:
    /// those that were sent least come first.
    std::vector<base::daemon_id> first(std::size_t count) const;


    /// Counts one transmission of id and drops it after limit of them.
    void count_sent(const base::daemon_id& id, std::size_t limit);


    /// Returns true when nothing waits.
    bool empty() const noexcept
    {
        return entries_.empty();
    }

private:
    struct entry
    {
        base::daemon_id id_;
        std::size_t sent_ = 0;
    };

    std::vector<entry> entries_;
};

} // namespace monsoondock::membership::pvt

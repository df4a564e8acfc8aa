#pragma once

#include <boost/asio/steady_timer.hpp>

#include <string>

namespace monsoondock::engine_standin {

/// One request that waits or runs.
struct job
{
    /// Cancelled when the job gets a slot or is cancelled.
    boost::asio::steady_timer wake_;
    std::string id_;
    /// Lower runs first.
    int priority_ = 0;
    bool granted_ = false;
    bool cancelled_ = false;
    bool finished_ = false;
};


/// Makes the job stop at its next step.
inline void cancel(job& j)
{
    j.cancelled_ = true;
    j.wake_.cancel();
}

} // namespace monsoondock::engine_standin

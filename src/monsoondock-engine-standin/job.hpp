#pragma once

#include <boost/asio/steady_timer.hpp>

#include <string>

namespace monsoondock::engine_standin {

/// One queued or running completion request.
struct job
{
    /// Timer that the job waits on; cancelled to wake the job when it gets a
    /// slot or is cancelled.
    boost::asio::steady_timer wake_timer_;
    std::string id_;
    /// Lower values run first.
    int priority_ = 0;
    bool granted_ = false;
    bool cancelled_ = false;
    bool finished_ = false;
};


/// Wakes the job and makes it stop before its next token.
inline void cancel(job& j)
{
    j.cancelled_ = true;
    j.wake_timer_.cancel();
}

} // namespace monsoondock::engine_standin

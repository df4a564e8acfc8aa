#pragma once

#include "counts.hpp"
#include "faults.hpp"
#include "job.hpp"
#include "load_sample.hpp"
#include "prefix_cache.hpp"
#include "replica.hpp"
#include "slot_queue.hpp"

#include <monsoondock/standin/http_server.hpp>

#include <list>
#include <string>

namespace monsoondock::engine_standin {

/// One host with a model worker.
struct engine_host
{
    std::string id_;
    standin::http_server server_;
    faults faults_;
    /// Time that loading a model takes.
    std::chrono::milliseconds load_time_;
    slot_queue queue_;
    prefix_cache prefixes_;
    /// Every host of this process, this one too.
    std::list<engine_host>& fleet_;
    replica replica_ = {};
    counts counts_ = {};
    load_sample load_ = {};
    std::list<job*> jobs_ = {};
    std::chrono::steady_clock::time_point paused_until_ = {};
};


/// Makes the host drop every connection and forget its replica, as a crash
/// of the machine does. Groups that it belongs to lose their streams.
void kill(engine_host& h);


/// Cancels every request that waits or runs.
void cancel_jobs(engine_host& h);


/// Tells whether all of the group's hosts that live in this process are
/// alive and loaded for the same generation.
bool is_whole(const engine_host& head);


/// Answers one call of the engine API or of the stand-in's own controls.
boost::asio::awaitable<void> answer(engine_host& h, standin::exchange& e);

} // namespace monsoondock::engine_standin

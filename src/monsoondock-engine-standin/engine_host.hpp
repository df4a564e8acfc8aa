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

/// One simulated host with a model worker. A replica spans the hosts of a
/// group, so a process may simulate several of them.
struct engine_host
{
    std::string id_;
    standin::http_server server_;
    faults faults_;
    /// Time to load a model.
    std::chrono::milliseconds load_time_;
    slot_queue queue_;
    prefix_cache prefixes_;
    /// All hosts simulated by this process, including this one.
    std::list<engine_host>& process_hosts_;
    replica replica_ = {};
    counts counts_ = {};
    load_sample load_ = {};
    std::list<job*> jobs_ = {};
    std::chrono::steady_clock::time_point paused_until_ = {};
};


/// Simulates a crash of the machine: the host closes every connection and
/// loses its replica, and the requests of the groups that contain it are
/// aborted on all hosts that this process simulates.
void crash_host(engine_host& h);


/// Cancels all queued and running requests.
void cancel_jobs(engine_host& h);


/// Returns whether all hosts of the group that this process simulates are up
/// and have loaded the model in the generation of the head.
bool is_group_ready(const engine_host& head);


/// Handles one request to the engine API or to the control API of the stand-in
/// (paths under /standin/).
boost::asio::awaitable<void>
handle_request(engine_host& h, standin::exchange& e);

} // namespace monsoondock::engine_standin

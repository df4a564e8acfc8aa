#pragma once

#include "traffic_thread.hpp"

namespace monsoondock::traffic::pvt {

/// Closes the connections that wait for a request, in order. A connection with
/// unread bytes is served once more; a new one has a short time for its first
/// request. Call it on the thread, after shared_.closing_ was set.
void close_idle_callers(traffic_thread& thread);


/// Ends the requests in progress and those being read; callers without a
/// response get a last one. Call it on the thread, after shared_.aborting_ was
/// set.
void abort_requests(traffic_thread& thread);


/// Logs what the end of the thread cuts: a line for each request in progress,
/// and one that counts the connections. Call it when the thread has ended.
void log_cut_work(const traffic_thread& thread);

} // namespace monsoondock::traffic::pvt

#pragma once

#include "proxy_thread.hpp"

namespace monsoondock::relay::pvt {

/// Logs a line for each request in progress, which is about to be aborted at
/// the end of a shutdown.
void log_aborted_requests(const proxy_thread& t);


/// Logs what the end of the traffic thread cuts: a line for each request in
/// progress, and one that counts the connections of callers. Call it when the
/// thread has ended.
void log_cut_work(proxy_thread& t);

} // namespace monsoondock::relay::pvt

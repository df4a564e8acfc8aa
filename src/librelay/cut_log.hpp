#pragma once

#include "proxy_thread.hpp"

namespace monsoondock::relay::pvt {

/// Logs what the end of the traffic thread cuts: a line for each request in
/// progress, and one that counts the connections of callers. Call it when the
/// thread has ended.
void log_cut_work(proxy_thread& t);

} // namespace monsoondock::relay::pvt

#pragma once

#include "connection_pool.hpp"

#include <monsoondock/load/run.hpp>

namespace monsoondock::load::pvt {

/// Returns the request for the entry hosts of a workspace.
request make_entry_request(const workspace& w);


/// Returns the HTTP request of an arrival.
request make_request(const run_options& options, const arrival& a);

} // namespace monsoondock::load::pvt

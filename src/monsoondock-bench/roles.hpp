#pragma once

#include "bench_options.hpp"

namespace monsoondock::bench {

/// Simulates an engine: replies to each request with an event stream at a
/// fixed token interval. Every event carries the time at which it was sent, on
/// the monotonic clock, which all processes of a host share. Runs until the
/// process is killed.
int run_engine(const bench_options& options);


/// Forwards the bytes of every connection to the target without parsing them,
/// as the baseline for run_server(). Runs until the process is killed.
int run_relay(const bench_options& options);


/// Serves callers with the daemon's traffic library on one thread, with one
/// group whose head is the target. Runs for one hour unless the process is
/// killed earlier. Returns 1 at once when the server cannot start.
int run_server(const bench_options& options);


/// Sends concurrent streaming requests to the target and prints one line of
/// JSON: percentiles, in microseconds, of the time to the first event and of
/// the delay of each token from sending to arrival, and the throughput.
/// Returns 1 when a connection or a request failed.
int run_client(const bench_options& options);

} // namespace monsoondock::bench

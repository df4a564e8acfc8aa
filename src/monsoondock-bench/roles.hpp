#pragma once

#include "bench_options.hpp"

namespace monsoondock::bench {

/// Answers each request with a paced event stream. Every event carries the
/// time of its sending on the monotonic clock, which all processes of a host
/// share. Runs until the process ends.
int run_engine(const bench_options& options);


/// Relays every connection byte by byte to the target: the baseline. Runs
/// until the process ends.
int run_relay(const bench_options& options);


/// Serves callers with the daemon's traffic library on one thread, with one
/// group whose head is the target. Runs until the process ends.
int run_server(const bench_options& options);


/// Keeps streams open against the target and prints one line of JSON with
/// the percentiles of the time to the first event and of the delay of each
/// token between its sending and its arrival, in microseconds.
int run_client(const bench_options& options);

} // namespace monsoondock::bench

#pragma once

#include <monsoondock/load/summary.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::load::pvt {

/// Number of runs by idempotency key, as a service stand-in counted them.
using run_counts = std::map<std::string, std::uint64_t>;


/// Reads the answer of GET /standin/runs; nothing when it is malformed.
std::optional<run_counts> parse_runs(std::string_view json);


/// Turns the outcome of each call that contradicts the counts into a wrong
/// one: more than one run, a completed call that did not run, a call that
/// was answered "not_run" and did run.
void check_runs(std::vector<record>& records, const run_counts& counts);

} // namespace monsoondock::load::pvt

#pragma once

#include <monsoondock/load/summary.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::load::pvt {

/// Number of executions by idempotency key, as counted by a service stand-in.
using execution_counts = std::map<std::string, std::uint64_t>;


/// Parses the answer of GET /standin/runs; nullopt when it is malformed.
std::optional<execution_counts> parse_execution_counts(std::string_view json);


/// Replaces the outcome of each call that contradicts the counts by
/// wrong_answer: a call that ran more than once, a completed call that never
/// ran, or a call that ran although its answer says "not_run".
void check_executions(
    std::vector<request_record>& records, const execution_counts& counts);

} // namespace monsoondock::load::pvt

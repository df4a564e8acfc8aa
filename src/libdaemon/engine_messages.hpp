#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/groups/host_order.hpp>
#include <monsoondock/groups/host_report.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::daemon {

/// Status of an engine, as returned by `GET /v1/status`.
struct engine_status
{
    groups::host_report report_;
    /// Requests that wait in the engine's queue.
    std::uint32_t queued_ = 0;
    /// Limit of requests a second that the engine names; absent without one.
    std::optional<double> limit_;
};


/// Parses an engine's status. The times of the report stay unset. Fails with
/// problem code corrupt when a field is missing or has a wrong type.
base::result<engine_status> parse_engine_status(std::string_view json);


/// Returns the JSON body of `POST /v1/orders`. addresses holds the addresses of
/// the group's members in rank order.
std::string encode_order(
    const groups::host_order& order, const std::vector<std::string>& addresses);

} // namespace monsoondock::daemon

#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/groups/host_order.hpp>
#include <monsoondock/groups/host_report.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::daemon {

/// What `GET /v1/status` of an engine says.
struct engine_status
{
    groups::host_report report_;
    std::uint32_t queued_ = 0;
};


/// Reads an engine's status. Times of the report stay unset. Problem corrupt
/// names the member that is missing or of a wrong type.
base::result<engine_status> parse_engine_status(std::string_view json);


/// Returns the body of `POST /v1/orders`; addresses are those of the members
/// in rank order.
std::string encode_order(
    const groups::host_order& order, const std::vector<std::string>& addresses);

} // namespace monsoondock::daemon

#pragma once

#include "chat_attempt.hpp"
#include "suspect_flight.hpp"

#include <boost/asio/awaitable.hpp>

#include <variant>
#include <vector>

namespace monsoondock::traffic::pvt {

/// Groups to which a completion may be sent now.
using leave = std::vector<base::group_id>;

/// Leave to send, or the answer for a caller that gets none.
using leave_or_refusal = std::variant<leave, refusal>;


/// Asks the quarantine for leave to send, and waits a while when it is only
/// a matter of time. The flight then stands for this dispatch.
boost::asio::awaitable<leave_or_refusal> get_leave(
    traffic_thread& thread,
    const request_context& context,
    const chat_progress& progress,
    suspect_flight& flight);

} // namespace monsoondock::traffic::pvt

#pragma once

#include "caller_connection.hpp"
#include "upstream_connection.hpp"

#include <monsoondock/base/byte_budget.hpp>
#include <monsoondock/crashes/prompt_part.hpp>
#include <monsoondock/relay/drain_schedule.hpp>
#include <monsoondock/relay/serving_view.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoondock::relay::pvt {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/// Maximum number of tries per request, including those that upstreams
/// rejected.
inline constexpr unsigned max_sends = 4;


/// Why the wait for an upstream was ended.
enum class stop_reason
{
    none,
    caller_left,
    deadline,
    connect_timeout,
    /// The upstream is slow or unresponsive, and another one has been found
    /// that may respond in time.
    rerouted,
    /// The upstream of the suspended try responds after all.
    resumed,
    /// The upstream has sent bytes, but no event for too long, and no other one
    /// may replace it.
    stalled,
    /// The daemon is about to end.
    shutdown
};


/// What an exchange is waiting for from its upstream.
enum class wait_phase
{
    none,
    connect,
    /// A complete response or, for a stream, the first event.
    first_response,
    /// The next event of a stream.
    next_event
};


struct suspended_try;


/// Request of a caller while it is being served. A periodic sweep checks all
/// exchanges and stops waits that have exceeded their limit.
struct exchange
{
    std::shared_ptr<caller_connection> caller_;
    view_pointer view_;
    const catalog::route* route_ = nullptr;
    base::deployment_id deployment_;
    http_request request_;
    /// Memory of the body of the request.
    base::byte_lease request_memory_;
    /// Request id that the caller sent.
    std::string id_;
    std::string workspace_;
    std::string model_;
    /// Why the request was accepted, if the daemon was shutting down then.
    std::optional<acceptance> acceptance_;
    unsigned priority_ = 0;
    double prompt_tokens_ = 0;
    /// As estimated by the caller.
    double answer_tokens_ = 0;
    /// Equal for a request and its resubmissions; see crash_report.
    std::uint64_t fingerprint_ = 0;
    /// Hash of all parts of the prompt, also of the last one.
    std::uint64_t prompt_hash_ = 0;
    /// Parts of the prompt that other requests may share.
    std::vector<crashes::prompt_part> prompt_parts_;
    base::time_point received_;
    /// When the complete response is due: the earlier of the caller's deadline
    /// and the route's timeout.
    base::time_point deadline_;

    /// Connection of the current try.
    std::shared_ptr<upstream_connection> upstream_;
    /// Upstream of the current try.
    base::host_id host_;
    wait_phase phase_ = wait_phase::none;
    /// When the phase began or the last event was relayed.
    base::time_point phase_start_;
    /// True when the upstream has sent bytes of a stream since then, comments
    /// and parts of events.
    bool received_bytes_ = false;
    stop_reason stop_reason_ = stop_reason::none;
    /// False once the events that the caller has do not tell where another
    /// upstream would go on.
    bool may_resume_ = true;
    /// Earlier try that goes on when its replacement fails.
    std::shared_ptr<suspended_try> suspended_;
    /// True when the retry limiter has granted a retry that is not used yet.
    bool retry_granted_ = false;
    /// True when the log says that the current try may not be replaced.
    bool refusal_logged_ = false;

    /// True when another daemon passed the request on, and that daemon. Such a
    /// request is not passed on again.
    bool is_detour_ = false;
    base::daemon_id detour_from_;
    /// True while the current try is a detour over another daemon.
    bool on_detour_ = false;
    /// True once the request has been sent to another daemon; at most one gets
    /// it.
    bool detour_sent_ = false;
    /// Daemons tried for a detour.
    std::set<base::daemon_id> tried_helpers_;

    /// Upstreams tried so far.
    std::set<base::host_id> tried_;
    /// Number of tries.
    unsigned sends_ = 0;
    /// Tries for which a connection was available.
    unsigned connected_sends_ = 0;
    /// Number of upstreams that may have executed the request.
    unsigned possible_runs_ = 0;
};


/// Ends the wait for the upstream. Closes the connection to it, except when the
/// exchange is rerouted, since the try may be resumed. The first reason is
/// kept, but any other one replaces rerouted.
void stop(exchange& e, stop_reason reason);


/// Returns true when the request may be executed by one more upstream.
bool may_run_again(const exchange& e) noexcept;


/// Returns the name of a reason or phase as it appears in logs.
const char* to_string(stop_reason reason) noexcept;
const char* to_string(wait_phase phase) noexcept;

} // namespace monsoondock::relay::pvt

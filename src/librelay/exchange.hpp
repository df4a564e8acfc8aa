#pragma once

#include "caller_link.hpp"
#include "upstream_link.hpp"

#include <monsoondock/relay/serving_view.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace monsoondock::relay::pvt {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/// Why the sweep ended a wait for an upstream.
enum class stop_reason
{
    none,
    caller_left,
    deadline,
    connect_timeout,
    /// The upstream is slow or silent and another one may answer in time.
    moved
};


/// What an exchange waits for at its upstream.
enum class wait_phase
{
    none,
    connect,
    /// The first byte of the answer, or a stream's first event.
    first_answer,
    /// The next event of a stream.
    next_event
};


/// One request of a caller while it is being served. The sweep looks at all
/// of them and stops the waits that have gone on for too long.
struct exchange
{
    std::shared_ptr<caller_link> caller_;
    view_pointer view_;
    const catalog::route* route_ = nullptr;
    http_request request_;
    std::string id_;
    std::string workspace_;
    std::string model_;
    unsigned priority_ = 0;
    double prompt_tokens_ = 0;
    /// As the caller estimates it.
    double answer_tokens_ = 0;
    std::uint64_t fingerprint_ = 0;
    base::time_point received_;
    /// Final answer is due: the earlier of the caller's deadline and the
    /// route's timeout.
    base::time_point due_;

    /// Present try.
    std::shared_ptr<upstream_link> upstream_;
    base::host_id host_;
    wait_phase phase_ = wait_phase::none;
    /// When the phase began, or the last event came.
    base::time_point phase_start_;
    stop_reason stopped_ = stop_reason::none;

    /// Tries so far.
    std::set<base::host_id> tried_;
    unsigned sends_ = 0;
    /// Sends that reached an upstream.
    unsigned arrivals_ = 0;
    /// Upstreams that may have run it.
    unsigned runs_ = 0;
};


/// Closes the connection to the upstream, so that the wait for it ends.
void stop(exchange& e, stop_reason why);


/// Returns true when the request may go to one more upstream.
bool may_run_again(const exchange& e) noexcept;


/// Returns the name of a reason as it appears in logs.
const char* to_string(stop_reason why) noexcept;

} // namespace monsoondock::relay::pvt

#pragma once

#include "traffic_thread.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/hostlimits/pause.hpp>
#include <monsoondock/traffic/upstream_load.hpp>

#include <boost/beast/http/message.hpp>

#include <string>
#include <string_view>

namespace monsoondock::traffic::pvt {

/// Field in which an upstream names its limit; see shared_host_limit.
inline constexpr const char* limit_field = "X-Request-Limit";


/// Records the limit that the head of a response names, or that it names none,
/// and the pause that a rejection asks for. upstream is the name by which all
/// daemons know the upstream.
template <class Response>
void record_limit(
    const traffic_thread& thread,
    upstream_load& load,
    const std::string& upstream,
    const Response& head)
{
    namespace http = boost::beast::http;
    const base::time_point now = base::boot_clock::now();
    if (head.result() == http::status::service_unavailable) {
        const auto field = head[http::field::retry_after];
        const auto pause =
            hostlimits::parse_retry_after({field.data(), field.size()});
        if (pause) {
            load.limit_.pause_until(now + *pause);
            base::event_line("upstream_paused")
                .field("upstream", upstream)
                .field("pause", *pause);
        }
    }
    const auto field = head[limit_field];
    const std::string_view limit(field.data(), field.size());
    if (!load.limit_.state_response(limit, now))
        return;
    load.limit_.update_share(
        {upstream},
        thread.options_.claims_.self_.daemon_,
        thread.options_.snapshots_.get()->live_daemons_,
        now);
}

} // namespace monsoondock::traffic::pvt

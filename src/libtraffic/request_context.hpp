#pragma once

#include "request_report.hpp"

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/metrics/label.hpp>
#include <monsoondock/traffic/routing_snapshot.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace monsoondock::traffic::pvt {

/// Complete request of a caller.
using caller_request =
    boost::beast::http::request<boost::beast::http::string_body>;


/// A request and the data derived from it while it is served.
struct request_context
{
    caller_request request_;
    base::request_id id_;
    base::time_point arrived_{};
    std::optional<base::time_point> deadline_;
    std::shared_ptr<const routing_snapshot> snapshot_;
    base::workspace_id workspace_;
    metrics::label label_;
    request_report report_;
};

} // namespace monsoondock::traffic::pvt

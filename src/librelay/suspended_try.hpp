#pragma once

#include "upstream_connection.hpp"

#include <monsoondock/base/bounded_response_parser.hpp>
#include <monsoondock/base/byte_budget.hpp>
#include <monsoondock/base/stream_join.hpp>
#include <monsoondock/relay/upstream.hpp>

#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace monsoondock::relay::pvt {

using http_response_parser =
    base::bounded_response_parser<boost::beast::http::string_body>;


/// Try whose upstream was silent for too long. Its connection stays open until
/// another upstream has responded, so that the response can still go on.
struct suspended_try
{
    upstream target_;
    std::shared_ptr<upstream_connection> connection_;
    /// What has been received of the response.
    std::unique_ptr<http_response_parser> parser_;
    /// Number of events received.
    std::uint64_t events_ = 0;
    /// Bytes of the event that was incomplete.
    std::string partial_event_;
    /// How it goes on behind the events that the caller has.
    base::run_join run_;
    /// Memory of the body or event.
    base::byte_lease memory_;
};


/// Returns true when the upstream goes on with its response: with a valid
/// header if there was none yet, otherwise with an event.
bool responds(const suspended_try& s);

} // namespace monsoondock::relay::pvt

#include "failure_reason.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <criterion/criterion.h>

namespace http = boost::beast::http;
namespace asio = boost::asio;
using monsoondock::relay::pvt::failure_reason;


Test(failure_reason, tells_limits_from_lost_connections)
{
    cr_assert(failure_reason(http::error::header_limit) == "header_too_large");
    cr_assert(failure_reason(http::error::body_limit) == "body_too_large");
    cr_assert(
        failure_reason(http::error::buffer_overflow) ==
        "chunk_header_too_large");
    cr_assert(failure_reason(http::error::bad_status) == "invalid_status");
    cr_assert(failure_reason(http::error::bad_obs_fold) == "folded_field");
    cr_assert(failure_reason(http::error::bad_version) == "malformed");
    cr_assert(failure_reason(http::error::bad_chunk) == "malformed");
    cr_assert(failure_reason(http::error::end_of_stream) == "connection_lost");
    cr_assert(
        failure_reason(http::error::partial_message) == "connection_lost");
    cr_assert(
        failure_reason(asio::error::connection_reset) == "connection_lost");
    cr_assert(failure_reason(asio::error::operation_aborted) == "stopped");
}

#include "failure_reason.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace monsoondock::relay::pvt {

namespace http = boost::beast::http;

std::string_view
failure_reason(const boost::system::error_code& failure) noexcept
{
    if (failure == http::error::header_limit)
        return "header_too_large";
    if (failure == http::error::body_limit)
        return "body_too_large";
    // A header reaches its limit before it fills the buffer of a connection.
    if (failure == http::error::buffer_overflow)
        return "chunk_header_too_large";
    if (failure == http::error::bad_status)
        return "invalid_status";
    if (failure == http::error::bad_obs_fold)
        return "folded_field";
    if (failure == boost::asio::error::operation_aborted)
        return stopped_reason;
    const bool ended = failure == http::error::end_of_stream ||
                       failure == http::error::partial_message;
    if (!ended && failure.category() ==
                      http::make_error_code(http::error::bad_method).category())
        return "malformed";
    return "connection_lost";
}

} // namespace monsoondock::relay::pvt

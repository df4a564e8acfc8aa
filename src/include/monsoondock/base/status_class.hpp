#pragma once

#include <boost/beast/http/status.hpp>

namespace monsoondock::base {

/// Returns the class of the status of a response, also of an unassigned one
/// (RFC 9110, section 15). Beast knows the assigned ones alone, so that the
/// result of `response.result()` has no class for others.
template <class Response>
boost::beast::http::status_class status_class_of(const Response& response)
{
    return boost::beast::http::to_status_class(response.result_int());
}

} // namespace monsoondock::base

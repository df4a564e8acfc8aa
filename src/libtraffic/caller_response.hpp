#pragma once

#include <monsoondock/traffic/refusal.hpp>

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>

#include <string>
#include <utility>

namespace monsoondock::traffic::pvt {

/// Returns what a caller gets of the response of an upstream: its status, also
/// an unassigned one, its content type, and a body.
template <class Response>
buffered_response make_caller_response(const Response& source, std::string body)
{
    namespace http = boost::beast::http;
    constexpr unsigned http_version_1_1 = 11;
    // Not source.result(), which is 0 for an unassigned status.
    buffered_response response(
        static_cast<http::status>(source.result_int()), http_version_1_1);
    response.set(http::field::content_type, source[http::field::content_type]);
    response.body() = std::move(body);
    return response;
}

} // namespace monsoondock::traffic::pvt

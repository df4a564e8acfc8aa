#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <iterator>
#include <optional>

namespace monsoondock::base {

/// Returns the status with which to refuse a request because of its
/// Transfer-Encoding: 400 for one whose length another recipient could read
/// otherwise (several fields, one beside a Content-Length, one in HTTP/1.0, or
/// one that doesn't end in chunked), 501 for chunks with a further coding,
/// which isn't decoded. Returns nothing for chunks alone and for a request
/// without the field.
///
/// `boost::beast::http::parser` takes such a request for one without a body, so
/// that the body is read as the next request. Close the connection after the
/// refusal.
inline std::optional<boost::beast::http::status>
find_transfer_encoding_fault(const boost::beast::http::request_header<>& head)
{
    namespace http = boost::beast::http;
    constexpr unsigned http_version_1_1 = 11;
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    if (first == last)
        return std::nullopt;
    const auto value = first->value();
    const bool is_ambiguous = std::next(first) != last ||
                              head.version() < http_version_1_1 ||
                              head.count(http::field::content_length) > 0;
    if (is_ambiguous)
        return http::status::bad_request;
    if (boost::beast::iequals(value, "chunked"))
        return std::nullopt;
    std::size_t chunk_codings = 0;
    bool ends_in_chunks = false;
    for (const auto& coding : http::token_list(value)) {
        ends_in_chunks = boost::beast::iequals(coding, "chunked");
        chunk_codings += ends_in_chunks ? 1 : 0;
    }
    return ends_in_chunks && chunk_codings == 1 ? http::status::not_implemented
                                                : http::status::bad_request;
}

} // namespace monsoondock::base

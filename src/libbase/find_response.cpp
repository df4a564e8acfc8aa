#include <monsoondock/base/bounded_response_parser.hpp>
#include <monsoondock/base/find_response.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>

#include <algorithm>

namespace monsoondock::base {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t max_header_bytes = std::size_t{64} * 1024;


bool begins_response(std::string_view text, std::string_view field_name)
{
    bounded_response_parser<http::empty_body> parser(max_header_bytes);
    parser.skip(true);
    boost::system::error_code failure;
    parser.put(
        boost::asio::buffer(
            text.data(), std::min(text.size(), max_header_bytes)),
        failure);
    const boost::beast::string_view name(field_name.data(), field_name.size());
    return parser.is_header_done() && parser.get().count(name) > 0;
}

} // namespace

std::size_t find_response(std::string_view text, std::string_view field_name)
{
    static constexpr std::string_view version = "HTTP/1.";
    std::size_t at = text.find(version);
    while (at != std::string_view::npos &&
           !begins_response(text.substr(at), field_name))
        at = text.find(version, at + version.size());
    return at;
}

} // namespace monsoondock::base

#include "suspended_try.hpp"

#include "event_splitter.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <limits>
#include <string_view>

namespace monsoondock::relay::pvt {

namespace {

// Returns true when the text begins with the valid head of a response. A head
// that is longer than what can be peeked at is taken for valid.
bool begins_response(std::string_view text)
{
    http_response_parser parser(std::numeric_limits<std::uint32_t>::max());
    parser.body_limit(boost::none);
    boost::system::error_code failure;
    parser.put(boost::asio::buffer(text), failure);
    if (failure == boost::beast::http::error::need_more)
        return text.size() == max_peeked_bytes;
    return !failure;
}

} // namespace

bool responds(const suspended_try& s)
{
    const std::string received = s.connection_->socket_.peek_text();
    if (!s.parser_->is_header_done())
        return begins_response(received);
    // The framing of chunks stays in the text; it does not look like an event.
    return contains_event(s.partial_event_ + received);
}

} // namespace monsoondock::relay::pvt

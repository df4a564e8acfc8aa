#include "suspended_try.hpp"

#include "event_splitter.hpp"
#include "peek_socket.hpp"

namespace monsoondock::relay::pvt {

bool responds(const suspended_try& s)
{
    const std::string received = peek_text(s.connection_->socket_);
    if (!s.parser_->is_header_done())
        return received.starts_with("HTTP/1.");
    // The framing of chunks stays in the text; it does not look like an event.
    return contains_event(s.partial_event_ + received);
}

} // namespace monsoondock::relay::pvt

#include "upstream_socket.hpp"

#include <boost/asio/error.hpp>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

void upstream_socket::record_end(
    const boost::system::error_code& failure, end_source source) noexcept
{
    // This side has ended the operation or the connection itself.
    const bool own = failure == asio::error::operation_aborted ||
                     failure == asio::error::bad_descriptor;
    if (!failure || own || end_.source_ != end_source::none)
        return;
    end_ = {failure, source};
}


boost::system::error_code upstream_socket::known_end(
    const boost::system::error_code& failure) const noexcept
{
    return failure == asio::error::eof ? end_.failure_ : failure;
}


socket_content upstream_socket::peek()
{
    boost::system::error_code failure;
    const socket_content content = peek_socket(socket_, failure);
    record_end(failure, end_source::peek);
    return content;
}


std::string upstream_socket::peek_text()
{
    boost::system::error_code failure;
    std::string text = pvt::peek_text(socket_, failure);
    record_end(failure, end_source::peek);
    return text;
}


const char* to_string(const connection_end& end) noexcept
{
    if (end.source_ == end_source::none)
        return "none";
    if (end.failure_ == asio::error::eof)
        return "closed";
    if (end.failure_ == asio::error::connection_reset)
        return "reset";
    return "failed";
}


const char* to_string(end_source source) noexcept
{
    switch (source) {
    case end_source::none:
        return "none";
    case end_source::read:
        return "read";
    case end_source::write:
        return "write";
    case end_source::peek:
        return "peek";
    }
    return "unknown";
}

} // namespace monsoondock::relay::pvt

#include "open_connection.hpp"

#include "buffer_sizes.hpp"
#include "connection_bounds.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/error.hpp>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

asio::awaitable<boost::system::error_code> open_connection(try_context& c)
{
    exchange& e = c.e_;
    e.upstream_ =
        std::make_shared<upstream_connection>(c.t_.context_.get_executor());
    enter_phase(e, wait_phase::connect);
    auto& socket = e.upstream_->socket_.next_layer();
    boost::system::error_code ignored;
    socket.open(asio::ip::tcp::v4(), ignored);
    bound_connection(socket);
    socket.set_option(
        asio::socket_base::send_buffer_size(socket_buffer_bytes), ignored);
    socket.set_option(
        asio::socket_base::receive_buffer_size(socket_buffer_bytes), ignored);
    const auto [failure] =
        co_await socket.async_connect(c.target_.address_, base::await_tuple);
    if (!failure && !c.detour_)
        c.t_.connected_.insert(c.target_.host_);
    if (!failure && e.stop_reason_ != stop_reason::none)
        co_return asio::error::operation_aborted;
    co_return failure;
}

} // namespace monsoondock::relay::pvt

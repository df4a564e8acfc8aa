#include "upstream_socket.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <array>
#include <chrono>
#include <thread>

using namespace monsoondock;
using namespace monsoondock::relay::pvt;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

enum class ending
{
    close,
    reset
};


/// A connection over loopback, with the end of its peer.
struct connected_pair
{
    connected_pair()
    {
        tcp::acceptor acceptor(
            context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        socket_.next_layer().connect(acceptor.local_endpoint());
        acceptor.accept(peer_);
    }


    void end(ending how)
    {
        if (how == ending::reset)
            peer_.set_option(asio::socket_base::linger(true, 0));
        peer_.close();
        while (socket_.peek() != socket_content::end)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }


    boost::system::error_code read()
    {
        context_.restart();
        auto result = asio::co_spawn(
            context_,
            [this]() -> asio::awaitable<boost::system::error_code> {
                std::array<char, 8> bytes{};
                const auto [failure, size] = co_await socket_.async_read_some(
                    asio::buffer(bytes), base::await_tuple);
                co_return failure;
            },
            asio::use_future);
        context_.run();
        return result.get();
    }


    asio::io_context context_;
    upstream_socket socket_{context_.get_executor()};
    tcp::socket peer_{context_};
};

} // namespace

// The log could not tell which call had been told of a reset.
Test(upstream_socket, the_first_call_that_is_told_of_an_end_is_known)
{
    connected_pair reset;
    reset.end(ending::reset);
    cr_assert_str_eq(to_string(reset.socket_.end()), "reset");
    cr_assert_str_eq(to_string(reset.socket_.end().source_), "peek");
    connected_pair closed;
    closed.peer_.close();
    cr_assert(closed.read() == asio::error::eof);
    cr_assert_str_eq(to_string(closed.socket_.end()), "closed");
    cr_assert_str_eq(to_string(closed.socket_.end().source_), "read");
}


// A reset that one call had been told of was an end of file for the next, and
// so the end of a response without length and chunks.
Test(upstream_socket, a_reset_is_never_an_end_of_file)
{
    connected_pair looked_at;
    looked_at.end(ending::reset);
    cr_expect(looked_at.read() == asio::error::connection_reset);
    connected_pair read;
    read.peer_.set_option(asio::socket_base::linger(true, 0));
    read.peer_.close();
    cr_expect(read.read() == asio::error::connection_reset);
    cr_expect(read.read() == asio::error::connection_reset);
}


// Guards against losing what had arrived before the reset.
Test(upstream_socket, bytes_before_a_reset_are_read)
{
    connected_pair pair;
    asio::write(pair.peer_, asio::buffer("abc", 3));
    while (pair.socket_.peek() != socket_content::bytes)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    pair.peer_.set_option(asio::socket_base::linger(true, 0));
    pair.peer_.close();
    cr_expect(!pair.read());
    cr_expect(pair.read() == asio::error::connection_reset);
}


Test(upstream_socket, an_orderly_end_stays_one)
{
    connected_pair pair;
    pair.end(ending::close);
    cr_expect(pair.read() == asio::error::eof);
    cr_expect(pair.read() == asio::error::eof);
}


Test(upstream_socket, an_own_close_is_no_end_of_the_peer)
{
    connected_pair pair;
    pair.socket_.next_layer().close();
    cr_assert(pair.read() == asio::error::bad_descriptor);
    cr_assert_str_eq(to_string(pair.socket_.end()), "none");
}

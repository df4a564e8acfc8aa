#include "frame_io.hpp"

#include <monsoondock/wire/frame_splitter.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace monsoondock::peer::pvt {

namespace asio = boost::asio;

namespace {

constexpr auto AWAIT_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t READ_BYTES = 16384;

} // namespace

asio::awaitable<std::optional<std::string>>
read_frame(asio::ip::tcp::socket& socket, std::size_t limit)
{
    wire::frame_splitter splitter(limit);
    std::array<char, READ_BYTES> buffer{};
    for (;;) {
        const auto [failure, size] =
            co_await socket.async_read_some(asio::buffer(buffer), AWAIT_TUPLE);
        if (failure || !splitter.add({buffer.data(), size}))
            co_return std::nullopt;
        auto frame = splitter.next();
        if (frame)
            co_return frame;
    }
}


asio::awaitable<bool>
write_frame(asio::ip::tcp::socket& socket, std::string sealed)
{
    const std::string frame = wire::make_frame(sealed);
    const auto [failure, size] =
        co_await asio::async_write(socket, asio::buffer(frame), AWAIT_TUPLE);
    co_return !failure;
}

} // namespace monsoondock::peer::pvt

#include "deadline.hpp"

namespace monsoondock::peer::pvt {

deadline::deadline(
    const boost::asio::any_io_executor& executor,
    const std::shared_ptr<boost::asio::ip::tcp::socket>& socket,
    std::chrono::milliseconds length)
    : timer_(executor, length), passed_(std::make_shared<bool>(false))
{
    const std::weak_ptr<boost::asio::ip::tcp::socket> watched = socket;
    timer_.async_wait([watched, passed = passed_](const auto& failure) {
        const auto still_open = watched.lock();
        if (failure || still_open == nullptr)
            return;
        *passed = true;
        boost::system::error_code ignored;
        still_open->close(ignored);
    });
}

} // namespace monsoondock::peer::pvt

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <string>

namespace monsoondock::standin {

/// Writes value to hosts/<host> in the platform's store, replacing any existing
/// object. Retries every 100 ms until the store accepts the write.
boost::asio::awaitable<void> register_host(
    boost::asio::ip::tcp::endpoint platform,
    std::string host,
    boost::json::object value);

} // namespace monsoondock::standin

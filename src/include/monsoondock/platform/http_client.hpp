#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>
#include <monsoondock/platform/store_dialect.hpp>
#include <monsoondock/platform/write_condition.hpp>
#include <monsoondock/platform/write_outcome.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::platform {

/// Client of the platform's object API over HTTP. Every call takes effect on
/// the executor given at construction; calls may overlap. Reads return a
/// problem of code unavailable or timeout when the store gives no answer.
class http_client
{
public:
    /// Addresses of the platform, tried in turn. timeout bounds every call
    /// but the watch. dialect must outlive the client.
    http_client(
        boost::asio::any_io_executor executor,
        std::vector<boost::asio::ip::tcp::endpoint> addresses,
        std::chrono::milliseconds timeout,
        const store_dialect& dialect = native_dialect());

    ~http_client();


    /// Reads one object; nothing when the key has none.
    boost::asio::awaitable<base::result<std::optional<object>>>
    get(std::string key);


    /// Reads all objects whose keys begin with prefix.
    boost::asio::awaitable<base::result<listing>> list(std::string prefix);


    /// Writes value at key under condition.
    boost::asio::awaitable<write_outcome>
    put(std::string key, std::string value, write_condition condition);


    /// Deletes the object at key when it has the version expected.
    boost::asio::awaitable<write_outcome>
    erase(std::string key, version expected);


    /// Waits up to wait for changes after from to keys that begin with prefix.
    /// Problem code exhausted: from is too old, list again.
    boost::asio::awaitable<base::result<change_batch>>
    watch(std::string prefix, version from, std::chrono::milliseconds wait);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::platform

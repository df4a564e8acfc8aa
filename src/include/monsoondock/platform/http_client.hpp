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

/// HTTP client of the platform's object API. Calls run on the executor given at
/// construction and may overlap. Reads return a problem with code unavailable
/// when the store does not respond or answers with an unexpected status.
class http_client
{
public:
    /// addresses are those of the platform; the next one is tried when
    /// connecting to one fails. timeout limits connecting and every call; a
    /// watch may take its wait time in addition. dialect must outlive the
    /// client.
    http_client(
        boost::asio::any_io_executor executor,
        std::vector<boost::asio::ip::tcp::endpoint> addresses,
        std::chrono::milliseconds timeout,
        const store_dialect& dialect = native_dialect());

    ~http_client();


    /// Returns the highest era of the store that a response has shown; see
    /// version. Responses of an earlier era count as not received.
    std::uint64_t era() const noexcept;


    /// Reads the object at key; std::nullopt when there is none.
    boost::asio::awaitable<base::result<std::optional<object>>>
    get(std::string key);


    /// Reads all objects whose keys begin with prefix.
    boost::asio::awaitable<base::result<listing>> list(std::string prefix);


    /// Writes value at key if condition holds. Returns condition_failed without
    /// a call when the condition names a version of an earlier era, and
    /// answer_lost when the store turns out to have been restored meanwhile.
    boost::asio::awaitable<write_outcome>
    put(std::string key, std::string value, write_condition condition);


    /// Deletes the object at key if its version is expected.
    boost::asio::awaitable<write_outcome>
    erase(std::string key, version expected);


    /// Waits up to wait for changes after version from to keys that begin with
    /// prefix. Problem code exhausted: the store no longer keeps the changes
    /// since from, or has been restored since; list the objects again.
    boost::asio::awaitable<base::result<change_batch>>
    watch(std::string prefix, version from, std::chrono::milliseconds wait);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::platform

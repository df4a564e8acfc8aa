#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/base/result.hpp>
#include <monsoondock/metrics/registry.hpp>
#include <monsoondock/traffic/claim_options.hpp>
#include <monsoondock/traffic/limits.hpp>
#include <monsoondock/traffic/shared_suspect_registry.hpp>
#include <monsoondock/traffic/snapshot_holder.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace monsoondock::traffic {

/// Answers `GET /admin/...` requests; called on a traffic thread with the
/// target and returns JSON text, or nothing for an unknown target.
using admin_handler =
    std::function<std::optional<std::string>(const std::string& target)>;


/// What the server needs from the rest of the daemon.
struct server_options
{
    snapshot_holder& snapshots_;
    metrics::registry& metrics_;
    limits limits_;
    admin_handler admin_;
    claim_options claims_;
    /// Where this daemon is; groups here come first.
    base::data_centre_id data_centre_;
    /// Quarantine of requests that crash groups; null for none.
    shared_suspect_registry* suspects_ = nullptr;
};


/// The threads that accept callers and relay their requests.
class server
{
public:
    explicit server(server_options parts);
    ~server();


    /// Listens on address and starts the threads. Returns a problem of code
    /// unavailable when the address can't be used.
    base::result<base::done>
    start(const boost::asio::ip::tcp::endpoint& address, std::size_t threads);


    /// Stops accepting connections; those open go on, and each ends after
    /// the request in progress.
    void stop_accepting();


    /// Returns the number of requests in progress.
    std::uint64_t active_requests() const;


    /// Ends all connections and joins the threads.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::traffic

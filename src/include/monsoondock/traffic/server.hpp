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

/// Handler of `GET /admin/...` requests. Called on a traffic thread with the
/// request target; returns JSON text, or nullopt for an unknown target.
using admin_handler =
    std::function<std::optional<std::string>(const std::string& target)>;


/// Configuration of the server and the objects it uses, which must outlive it.
struct server_options
{
    snapshot_holder& snapshots_;
    metrics::registry& metrics_;
    limits limits_;
    admin_handler admin_;
    claim_options claims_;
    /// Data centre of this daemon; its groups are preferred.
    base::data_centre_id data_centre_;
    /// Registry of requests suspected of crashing groups; null disables the
    /// quarantine.
    shared_suspect_registry* suspects_ = nullptr;
};


/// HTTP server for callers: a pool of threads that accept connections and relay
/// requests to model groups and plain services.
class server
{
public:
    explicit server(server_options options);
    ~server();


    /// Listens on address and starts the threads. Fails with code unavailable
    /// when the address can't be bound.
    base::result<base::done>
    start(const boost::asio::ip::tcp::endpoint& address, std::size_t threads);


    /// Stops accepting connections. An open connection is closed after its
    /// next response, or at its idle time-out when no request arrives.
    void stop_accepting();


    /// Returns the number of requests in progress.
    std::uint64_t active_requests() const;


    /// Stops the threads without waiting for requests, closes all connections
    /// and joins the threads.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::traffic

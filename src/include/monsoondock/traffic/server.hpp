#pragma once

#include <monsoondock/base/boot_clock.hpp>
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


    /// Rejects requests that may not have ended by exit_at from now on.
    void drain(base::time_point exit_at);


    /// Stops accepting connections, with those in the listen queue served.
    /// Connections are closed in order: idle ones at once, others after their
    /// next response.
    void stop_accepting();


    /// Ends the requests in progress and those being read. Callers without a
    /// response get a last one.
    void abort_requests();


    /// Returns true when all connections and requests have ended after
    /// stop_accepting().
    bool is_closed() const;


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

#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/membership/node.hpp>
#include <monsoondock/peer/peer_config.hpp>
#include <monsoondock/peer/peer_counters.hpp>
#include <monsoondock/peer/peer_handlers.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace monsoondock::peer {

namespace pvt {
struct service_state;
}

/// Receives the reply to a settings_request, or a problem with code timeout,
/// unavailable or corrupt.
using settings_callback = std::function<void(base::result<settings_reply>)>;


/// Communication of a daemon with its peers: membership and group health over
/// UDP, settings requests over TCP, all in authenticated envelopes. Not
/// thread-safe: the executor must run on one thread at a time, and all
/// functions must be called from it.
class service
{
public:
    service(
        const boost::asio::any_io_executor& executor,
        peer_config config,
        peer_handlers handlers);

    service(const service&) = delete;
    service& operator=(const service&) = delete;

    /// Closes the sockets without notifying peers, unless stop was called.
    ~service();


    /// Binds the peer endpoint and starts the service. Port 0 in the record
    /// selects a free port. Problem code unavailable: the address can't be
    /// bound.
    base::result<base::done> start();


    /// Notifies peers of the departure and closes all sockets. No handler is
    /// called afterwards; pending requests fail with problem code
    /// unavailable.
    void stop();


    /// Disseminates a new status of this daemon.
    void set_status(const membership::member_status& status);


    /// Announces a graceful shutdown; the service keeps running until stop.
    void leave();


    /// Replaces the seed addresses through which the daemon joins its peers.
    void set_seeds(std::vector<membership::endpoint> seeds);


    /// Replaces the keys that seal and open envelopes.
    void set_keys(const wire::key_ring& keys);


    /// Sends a body on the group health channel. Problem code not_found: the
    /// daemon is unknown or considered dead; exhausted: the body does not fit
    /// into a datagram. Success does not mean that the datagram was sent or
    /// delivered.
    base::result<base::done>
    send_group_health(const base::daemon_id& to, std::string_view body);


    /// Requests the settings of the daemon at an address. Calls done once,
    /// never before this function returns.
    void request_settings(
        const membership::endpoint& peer,
        settings_request request,
        settings_callback done);


    /// Returns the membership node, for its member table and counters.
    const membership::node& node() const noexcept;


    peer_counters counters() const;

private:
    std::shared_ptr<pvt::service_state> state_;
};

} // namespace monsoondock::peer

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

/// Takes the answer to a settings_request, or a problem of code timeout,
/// unavailable or corrupt.
using settings_callback = std::function<void(base::result<settings_reply>)>;


/// A daemon among its peers: membership and group health over UDP, requests
/// over TCP, all in authenticated envelopes. Everything runs on one executor,
/// which must not run on several threads at a time; call all functions from
/// there.
class service
{
public:
    service(
        const boost::asio::any_io_executor& executor,
        peer_config config,
        peer_handlers handlers);

    service(const service&) = delete;
    service& operator=(const service&) = delete;

    /// Stops without a word to the peers unless stop was called.
    ~service();


    /// Binds the peer endpoint and begins. Problem code unavailable: the
    /// address can't be bound. A port of zero in the record takes a free one.
    base::result<base::done> start();


    /// Announces the exit and closes all sockets. Handlers are not called any
    /// more; waiting requests end with problem code unavailable.
    void stop();


    /// Spreads a new status of the own daemon.
    void set_status(const membership::member_status& status);


    /// Announces a graceful shutdown; the service goes on.
    void leave();


    /// Replaces the addresses through which the daemon joins.
    void set_seeds(std::vector<membership::endpoint> seeds);


    /// Seals and opens with other keys from now on.
    void set_keys(const wire::key_ring& keys);


    /// Sends a body on the group health channel. Problem code not_found: the
    /// daemon is not known here or held dead; exhausted: the body does not fit
    /// into a datagram. Success does not tell that it arrives.
    base::result<base::done>
    send_group_health(const base::daemon_id& to, std::string_view body);


    /// Asks the daemon at an address for its settings. done is called once,
    /// never before this returns.
    void request_settings(
        const membership::endpoint& from,
        settings_request request,
        settings_callback done);


    /// Returns the node for its tables and totals.
    const membership::node& node() const noexcept;


    /// Returns the totals for metrics.
    peer_counters counters() const;

private:
    std::shared_ptr<pvt::service_state> state_;
};

} // namespace monsoondock::peer

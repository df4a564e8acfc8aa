#include "service_state.hpp"

#include <monsoondock/peer/service.hpp>
#include <monsoondock/wire/limits.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace monsoondock::peer {

namespace asio = boost::asio;

namespace {

/// Binds TCP first; with port 0, UDP then uses the port selected for TCP.
boost::system::error_code bind_sockets(pvt::service_state& state)
{
    boost::system::error_code failure;
    auto& self = state.config_.self_.peer_;
    state.acceptor_.open(asio::ip::tcp::v4(), failure);
    if (failure)
        return failure;
    state.acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
    state.acceptor_.bind(pvt::to_tcp(self), failure);
    if (failure)
        return failure;
    state.acceptor_.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return failure;
    self.port_ = state.acceptor_.local_endpoint().port();
    state.socket_.open(asio::ip::udp::v4(), failure);
    if (failure)
        return failure;
    state.socket_.bind(pvt::to_udp(self), failure);
    if (failure)
        return failure;
    state.socket_.non_blocking(true, failure);
    return failure;
}


/// Recreates the node, whose own record must contain the port that was bound.
void rebuild_node(pvt::service_state& state)
{
    state.node_ = membership::node(
        state.config_.node_,
        state.config_.self_,
        state.config_.seeds_,
        state.config_.random_seed_);
}


asio::awaitable<void> run_settings_request(
    pvt::state_ptr state,
    membership::endpoint peer,
    settings_request request,
    settings_callback done)
{
    auto result = co_await pvt::request_settings(state, peer, request);
    done(std::move(result));
}

} // namespace

service::service(
    const asio::any_io_executor& executor,
    peer_config config,
    peer_handlers handlers)
    : state_(std::make_shared<pvt::service_state>(
          executor, std::move(config), std::move(handlers)))
{}


service::~service()
{
    if (state_->stopped_)
        return;
    state_->stopped_ = true;
    state_->handlers_ = {};
    boost::system::error_code ignored;
    state_->socket_.close(ignored);
    state_->acceptor_.close(ignored);
    state_->timer_.cancel();
}


base::result<base::done> service::start()
{
    const auto failure = bind_sockets(*state_);
    if (failure)
        return base::problem{
            base::problem_code::unavailable,
            "cannot bind peer address " +
                to_string(state_->config_.self_.peer_) + ": " +
                failure.message(),
            "check peer_address in the configuration file"};
    rebuild_node(*state_);
    const auto& executor = state_->executor_;
    asio::co_spawn(executor, pvt::receive_datagrams(state_), asio::detached);
    asio::co_spawn(executor, pvt::tick_node(state_), asio::detached);
    asio::co_spawn(executor, pvt::accept_requests(state_), asio::detached);
    return base::done{};
}


void service::stop()
{
    if (state_->stopped_)
        return;
    state_->handlers_ = {};
    pvt::process_output(*state_, state_->node_.depart(base::boot_clock::now()));
    state_->stopped_ = true;
    boost::system::error_code ignored;
    state_->socket_.close(ignored);
    state_->acceptor_.close(ignored);
    state_->timer_.cancel();
}


void service::set_status(const membership::member_status& status)
{
    const auto now = base::boot_clock::now();
    pvt::process_output(*state_, state_->node_.set_status(status, now));
}


void service::leave()
{
    const auto now = base::boot_clock::now();
    pvt::process_output(*state_, state_->node_.leave(now));
}


void service::set_seeds(std::vector<membership::endpoint> seeds)
{
    state_->node_.set_seeds(std::move(seeds));
}


void service::set_keys(const wire::key_ring& keys)
{
    state_->sealer_.set_keys(keys);
    state_->opener_.set_keys(keys);
}


base::result<base::done>
service::send_group_health(const base::daemon_id& to, std::string_view body)
{
    if (body.size() >
        wire::MAX_DATAGRAM_BYTES - wire::MAX_ENVELOPE_OVERHEAD_BYTES)
        return base::problem{
            base::problem_code::exhausted,
            "message body does not fit into a datagram",
            {}};
    const auto& members = state_->node_.members();
    const auto found = members.find(to);
    if (found == members.end() ||
        found->second.record_.state_ == membership::member_state::dead)
        return base::problem{
            base::problem_code::not_found,
            "daemon " + to.value_ + " is not a live member",
            {}};
    pvt::send_datagram(
        *state_,
        wire::channel::group_health,
        found->second.record_.peer_,
        body);
    return base::done{};
}


void service::request_settings(
    const membership::endpoint& peer,
    settings_request request,
    settings_callback done)
{
    asio::co_spawn(
        state_->executor_,
        run_settings_request(state_, peer, request, std::move(done)),
        asio::detached);
}


const membership::node& service::node() const noexcept
{
    return state_->node_;
}


peer_counters service::counters() const
{
    peer_counters totals = state_->counters_;
    totals.drops_ = state_->opener_.drops();
    return totals;
}

} // namespace monsoondock::peer

#include "service_state.hpp"

namespace monsoondock::peer::pvt {

service_state::service_state(
    const boost::asio::any_io_executor& executor,
    peer_config config,
    peer_handlers handlers)
    : executor_(executor), config_(std::move(config)),
      handlers_(std::move(handlers)),
      node_(config_.node_, config_.self_, config_.seeds_, config_.random_seed_),
      sealer_(
          config_.self_.id_, config_.self_.incarnation_.value_, config_.keys_),
      opener_(config_.keys_), socket_(executor), acceptor_(executor),
      timer_(executor)
{}


membership::endpoint to_endpoint(const boost::asio::ip::udp::endpoint& from)
{
    return {from.address().to_v4().to_uint(), from.port()};
}


boost::asio::ip::udp::endpoint to_udp(const membership::endpoint& to)
{
    return {boost::asio::ip::address_v4(to.address_), to.port_};
}


boost::asio::ip::tcp::endpoint to_tcp(const membership::endpoint& to)
{
    return {boost::asio::ip::address_v4(to.address_), to.port_};
}

} // namespace monsoondock::peer::pvt

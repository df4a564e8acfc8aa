#include "control_plane_test.hpp"

#include <monsoondock/membership/node.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry;
namespace asio = boost::asio;

namespace {

// As many as fit into the buffer of a socket beside the news.
constexpr std::size_t reports = 150;
constexpr std::size_t max_handled_before_news = 10;


membership::node
make_peer(const asio::ip::udp::endpoint& own, const membership::endpoint& seed)
{
    membership::member_record record;
    record.id_ = {"b"};
    record.data_centre_ = {"dc"};
    record.peer_ = {own.address().to_v4().to_uint(), own.port()};
    record.incarnation_ = {1};
    return {membership::node_config{}, record, {seed}, 1};
}

} // namespace

// Guards against configurations that are in force late, because the news of
// them waits behind seconds' worth of reports about hosts.
Test(peer_messaging, news_of_members_does_not_wait_behind_reports)
{
    pvt::test_control_plane daemon;
    pvt::control_plane& c = daemon.control_;
    const asio::ip::udp::endpoint any(asio::ip::address_v4::loopback(), 0);
    c.peer_socket_.open(any.protocol());
    c.peer_socket_.bind(any);
    const auto receiver = c.peer_socket_.local_endpoint();
    asio::ip::udp::socket sender(c.context_, any);
    for (std::uint64_t i = 0; i < reports; ++i) {
        const std::string report = pvt::encode(
            pvt::host_finding_message{i, paths::peer_finding::reached});
        sender.send_to(asio::buffer(report), receiver);
    }
    auto peer = make_peer(
        sender.local_endpoint(),
        {receiver.address().to_v4().to_uint(), receiver.port()});
    const auto joining = peer.tick(base::boot_clock::now());
    cr_assert_not(joining.datagrams_.empty());
    for (const membership::datagram& d : joining.datagrams_) {
        const std::string news = pvt::encode(pvt::membership_message{d.body_});
        sender.send_to(asio::buffer(news), receiver);
    }
    asio::co_spawn(c.context_, pvt::run_peer_messaging(c), asio::detached);
    while (c.node_.members().empty() && c.handled_messages_ < 2 * reports)
        c.context_.run_one();
    cr_assert(c.node_.members().contains({"b"}));
    cr_expect_leq(c.handled_messages_, max_handled_before_news);
}

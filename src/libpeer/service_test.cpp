#include <monsoondock/peer/service.hpp>
#include <monsoondock/wire/frame_splitter.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <memory>

using namespace monsoondock;
using namespace monsoondock::peer;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::uint32_t LOOPBACK = 0x7f000001;
const wire::key_ring KEYS{{1, "the secret of the test"}, std::nullopt};


peer_config
make_config(const std::string& name, std::vector<membership::endpoint> seeds)
{
    peer_config config;
    config.self_.id_ = {name};
    config.self_.peer_ = {LOOPBACK, 0};
    config.self_.caller_ = {LOOPBACK, 9000};
    config.self_.incarnation_ = {1};
    config.seeds_ = std::move(seeds);
    config.keys_ = KEYS;
    config.random_seed_ = 1;
    return config;
}


/// Two services on one executor; the second joins through the first.
struct daemon_pair
{
    explicit daemon_pair(peer_handlers first = {}, peer_handlers second = {})
    {
        a_ = std::make_unique<service>(
            context_.get_executor(), make_config("a", {}), std::move(first));
        cr_assert(base::ok(a_->start()));
        b_ = std::make_unique<service>(
            context_.get_executor(),
            make_config("b", {a_->node().self().peer_}),
            std::move(second));
        cr_assert(base::ok(b_->start()));
    }


    /// Runs until condition is true. After 20 s it returns false, so that a
    /// failing test does not hang.
    template <class Condition>
    bool run_until(Condition condition)
    {
        const auto give_up_at = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < give_up_at)
            context_.run_one_for(50ms);
        return condition();
    }


    bool run_until_joined()
    {
        return run_until([&] {
            return a_->node().members().size() == 1 &&
                   b_->node().members().size() == 1;
        });
    }


    asio::io_context context_;
    std::unique_ptr<service> a_;
    std::unique_ptr<service> b_;
};


const membership::member_record& record_of_b(const daemon_pair& p)
{
    return p.a_->node().members().at({"b"}).record_;
}

} // namespace


Test(service, daemons_join_and_leave)
{
    std::size_t events = 0;
    peer_handlers handlers;
    handlers.member_event_ = [&](const auto&) {
        ++events;
    };
    daemon_pair p(handlers);
    cr_assert(p.run_until_joined());
    cr_assert(record_of_b(p) == p.b_->node().self());
    p.b_->set_status({0, 7, 0, membership::entry_mode::draining});
    cr_assert(
        p.run_until([&] { return p.a_->node().highest_revision() == 7; }));
    p.b_->leave();
    cr_assert(p.run_until([&] {
        return record_of_b(p).state_ == membership::member_state::leaving;
    }));
    p.b_->stop();
    cr_assert(p.run_until([&] {
        return record_of_b(p).state_ == membership::member_state::dead;
    }));
    cr_assert(events >= 4);
    cr_assert(p.a_->counters().drops_.of(wire::drop_reason::forged) == 0);
}


Test(service, group_health_messages_are_delivered_both_ways)
{
    std::string received_request;
    std::string received_reply;
    daemon_pair* daemons = nullptr;
    peer_handlers first;
    first.group_health_ = [&](const auto& sender, const std::string& body) {
        received_request = body;
        cr_assert(base::ok(daemons->a_->send_group_health(sender, "reply")));
    };
    peer_handlers second;
    second.group_health_ = [&](const auto&, const std::string& body) {
        received_reply = body;
    };
    daemon_pair p(first, second);
    daemons = &p;
    cr_assert(p.run_until_joined());
    cr_assert(base::ok(p.b_->send_group_health({"a"}, "request")));
    cr_assert(p.run_until([&] { return !received_reply.empty(); }));
    cr_assert(received_request == "request" && received_reply == "reply");
    const auto unknown = p.b_->send_group_health({"c"}, "request");
    cr_assert(base::error(unknown).code_ == base::problem_code::not_found);
    const auto large = p.b_->send_group_health({"a"}, std::string(1200, 'x'));
    cr_assert(base::error(large).code_ == base::problem_code::exhausted);
}


Test(service, reply_contains_settings_only_if_newer)
{
    peer_handlers handlers;
    const std::string bundle(1500000, 's');
    handlers.settings_request_ = [&](const settings_request&) {
        return settings_reply{9, bundle};
    };
    daemon_pair p(handlers);
    const auto address = p.a_->node().self().peer_;
    std::vector<settings_reply> replies;
    const auto store_result = [&](base::result<settings_reply> reply) {
        cr_assert(base::ok(reply));
        replies.push_back(base::value(reply));
    };
    p.b_->request_settings(address, {8}, store_result);
    cr_assert(p.run_until([&] { return replies.size() == 1; }));
    p.b_->request_settings(address, {9}, store_result);
    cr_assert(p.run_until([&] { return replies.size() == 2; }));
    cr_assert(replies[0].revision_ == 9 && replies[0].bundle_json_ == bundle);
    cr_assert(replies[1].revision_ == 9 && replies[1].bundle_json_.empty());
    cr_assert(p.a_->counters().requests_answered_ == 2);
}


Test(service, request_to_unresponsive_or_closed_peer_fails)
{
    daemon_pair p;
    asio::ip::tcp::acceptor unresponsive(
        p.context_, {asio::ip::address_v4(LOOPBACK), 0});
    const membership::endpoint address{
        LOOPBACK, unresponsive.local_endpoint().port()};
    std::vector<base::problem_code> codes;
    const auto store_result = [&](base::result<settings_reply> reply) {
        codes.push_back(base::error(reply).code_);
    };
    p.b_->request_settings(address, {0}, store_result);
    cr_assert(p.run_until([&] { return codes.size() == 1; }));
    cr_assert(codes[0] == base::problem_code::timeout);
    unresponsive.close();
    p.b_->request_settings(address, {0}, store_result);
    cr_assert(p.run_until([&] { return codes.size() == 2; }));
    cr_assert(codes[1] == base::problem_code::unavailable);
}


Test(service, invalid_frames_and_datagrams_are_counted_and_ignored)
{
    daemon_pair p;
    cr_assert(p.run_until_joined());
    const auto address = p.a_->node().self().peer_;
    asio::ip::udp::socket udp(p.context_, asio::ip::udp::v4());
    for (const std::size_t size : {0, 5, 100, 1200, 1201, 4000})
        udp.send_to(
            asio::buffer(std::string(size, '\x01')),
            {asio::ip::address_v4(address.address_), address.port_});
    asio::ip::tcp::socket tcp(p.context_);
    tcp.connect({asio::ip::address_v4(address.address_), address.port_});
    asio::write(tcp, asio::buffer(wire::make_frame("not an envelope at all")));
    asio::ip::tcp::socket long_frame(p.context_);
    long_frame.connect({asio::ip::address_v4(address.address_), address.port_});
    asio::write(long_frame, asio::buffer(std::string(8, '\xff')));
    cr_assert(p.run_until([&] {
        const auto totals = p.a_->counters();
        return totals.requests_refused_ == 2 &&
               totals.drops_.of(wire::drop_reason::oversized) == 2 &&
               totals.drops_.of(wire::drop_reason::truncated) == 2;
    }));
    bool replied = false;
    p.b_->request_settings(
        address, {0}, [&](auto reply) { replied = base::ok(reply); });
    cr_assert(p.run_until([&] { return replied; }));
}


Test(service, idle_connection_is_closed_after_the_timeout)
{
    daemon_pair p;
    const auto address = p.a_->node().self().peer_;
    asio::ip::tcp::socket tcp(p.context_);
    tcp.connect({asio::ip::address_v4(address.address_), address.port_});
    cr_assert(
        p.run_until([&] { return p.a_->counters().requests_refused_ == 1; }));
}


Test(service, daemon_with_another_key_can_not_join)
{
    daemon_pair p;
    p.b_->set_keys({{1, "another secret"}, std::nullopt});
    cr_assert(p.run_until([&] {
        return p.a_->counters().drops_.of(wire::drop_reason::forged) >= 2;
    }));
    cr_assert(p.a_->node().members().empty());
    p.b_->set_keys(KEYS);
    cr_assert(p.run_until_joined());
}


Test(service, start_fails_if_the_address_is_in_use)
{
    daemon_pair p;
    auto config = make_config("c", {});
    config.self_.peer_ = p.a_->node().self().peer_;
    service c(p.context_.get_executor(), config, {});
    const auto started = c.start();
    cr_assert(base::error(started).code_ == base::problem_code::unavailable);
}

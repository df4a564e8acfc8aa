#include "control_plane_test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>

#include <list>

using namespace monsoondock;
using namespace monsoondock::entry;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t hosts = 40;
constexpr std::size_t asking_daemons = 60;
// Connections that a daemon may open at once to answer questions of others.
constexpr std::size_t max_connections = 64;


/// Hosts that accept connections and count them.
class listening_hosts
{
public:
    explicit listening_hosts(asio::io_context& context)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            acceptors_.emplace_back(
                context,
                asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            accept(acceptors_.back());
        }
    }

    void add_to(fleet::host_table& table) const
    {
        std::size_t i = 0;
        for (const auto& acceptor : acceptors_) {
            fleet::host_info host;
            host.id_ = {"h" + std::to_string(i++)};
            host.address_ =
                "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            table[host.id_] = host;
        }
    }

    std::size_t accepted() const
    {
        return accepted_;
    }

private:
    void accept(asio::ip::tcp::acceptor& acceptor)
    {
        acceptor.async_accept(
            [&](const boost::system::error_code& failure, auto) {
                if (failure)
                    return;
                ++accepted_;
                accept(acceptor);
            });
    }

    std::list<asio::ip::tcp::acceptor> acceptors_;
    std::size_t accepted_ = 0;
};

} // namespace

// Guards against daemons that have no time for configurations while links are
// cut, as each question about a host costs them several connections.
Test(host_questions, many_questions_at_once_open_few_connections)
{
    pvt::test_control_plane daemon;
    pvt::control_plane& c = daemon.control_;
    listening_hosts listening(c.context_);
    listening.add_to(c.hosts_.hosts_);
    std::size_t answered = 0;
    const std::size_t questions = hosts * asking_daemons;
    for (std::size_t i = 0; i < questions; ++i) {
        const pvt::host_query_message question{
            i, {"h" + std::to_string(i % hosts)}};
        asio::co_spawn(
            c.context_,
            pvt::answer_host_query(c, question, {}),
            [&](const std::exception_ptr& failure) {
                cr_assert_null(failure);
                ++answered;
            });
    }
    while (answered < questions)
        c.context_.run_one();
    // Connections that have been opened but not accepted yet.
    c.context_.run_for(50ms);
    cr_expect_leq(listening.accepted(), max_connections);
}


// Guards against a busy daemon that says that it reaches no host, which the
// asking daemon would take for evidence.
Test(host_questions, a_busy_daemon_does_not_answer)
{
    pvt::test_control_plane daemon;
    pvt::control_plane& c = daemon.control_;
    listening_hosts listening(c.context_);
    listening.add_to(c.hosts_.hosts_);
    const asio::ip::udp::endpoint any(asio::ip::address_v4::loopback(), 0);
    c.peer_socket_.open(any.protocol());
    asio::ip::udp::socket asking(c.context_, any);
    const auto address = asking.local_endpoint();
    // One answer is allowed, and the next one long after the end of the test.
    c.links_.answers_.set_rate(0.001, base::boot_clock::now());
    c.links_.answers_.take(base::boot_clock::now());
    bool ended = false;
    asio::co_spawn(
        c.context_,
        pvt::answer_host_query(
            c,
            {1, {"h0"}},
            {address.address().to_v4().to_uint(), address.port()}),
        [&](const std::exception_ptr&) { ended = true; });
    while (!ended)
        c.context_.run_one();
    cr_expect_eq(c.links_.probes_, 0);
    cr_expect_eq(asking.available(), 0);
}

#include "proxy_session_test.hpp"
#include "silent_losses.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>

#include <thread>

using namespace monsoondock;
using namespace monsoondock::relay::test;
using namespace std::chrono_literals;

using boost::asio::ip::tcp;

namespace pvt = monsoondock::relay::pvt;

namespace {

const base::time_point start{1h};


// A request that was sent at the start and given up after half a second. The
// upstream responded again after some time, if it did.
pvt::silent_loss make_loss(std::chrono::milliseconds responded_after = 0ms)
{
    pvt::silent_loss loss;
    loss.report_ = {7, {"a"}, false};
    loss.process_start_ms_ = 1000;
    loss.silent_since_ = start;
    loss.given_up_at_ = start + 500ms;
    if (responded_after > 0ms)
        loss.responded_at_ = start + responded_after;
    return loss;
}


pvt::silence_state assess(
    const pvt::silent_loss& loss,
    std::chrono::milliseconds last_response,
    std::int64_t process_start_ms,
    std::chrono::milliseconds now)
{
    return pvt::assess_silence(
        loss, start + last_response, process_start_ms, start + now);
}


// A host that crashes as a request begins: the kernel accepts one connection,
// nobody reads from it, and none is accepted after it.
tcp::acceptor make_crashing_host(boost::asio::io_context& context)
{
    tcp::acceptor acceptor(context, tcp::v4());
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor.listen(0);
    return acceptor;
}


// Sends the same request again and again until it is refused because it crashes
// upstreams. Returns true when it was.
bool is_refused_at_last(proxy_session& s, int max_calls)
{
    request_options request;
    request.deadline_ = 400ms;
    for (int i = 0; i < max_calls; ++i) {
        const caller_response response = s.call_once(request);
        if (response.body_.find("request_crashes_upstreams") !=
            std::string::npos)
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

// Guards against blaming a request for a host that is silent for a second.
Test(silent_losses, a_host_that_responds_again_has_not_failed)
{
    using pvt::silence_state;
    cr_assert(assess(make_loss(), -1s, 1000, 1s) == silence_state::undecided);
    const auto responded = make_loss(1000ms);
    cr_assert(assess(responded, 1s, 1000, 1s) == silence_state::over);
    cr_assert(assess(responded, 1s, 2000, 4s) == silence_state::over);
    const auto later = make_loss(3000ms);
    cr_assert(assess(later, 3s, 1000, 3100ms) == silence_state::undecided);
    cr_assert(assess(later, 3s, 1000, 4s) == silence_state::over);
}


Test(silent_losses, a_host_that_stays_silent_is_checked)
{
    using pvt::silence_state;
    pvt::silent_loss loss = make_loss();
    cr_assert(assess(loss, -1s, 1000, 3s) == silence_state::suspicious);
    cr_assert(assess(loss, -1s, 0, 3s) == silence_state::suspicious);
    // Responses to earlier requests may still arrive after the request.
    cr_assert(assess(loss, 400ms, 1000, 2s) == silence_state::undecided);
    cr_assert(assess(loss, 400ms, 1000, 3s) == silence_state::suspicious);
    loss.checked_at_ = start + 3s;
    cr_assert(assess(loss, -1s, 1000, 3100ms) == silence_state::undecided);
    cr_assert(assess(loss, -1s, 1000, 4s) == silence_state::suspicious);
}


// When all hosts are down nobody can tell them from hosts whose links are cut,
// but the processes that take their places can be told from them.
Test(silent_losses, a_host_that_stays_silent_until_its_restart_has_failed)
{
    using pvt::silence_state;
    cr_assert(assess(make_loss(), -1s, 2000, 3s) == silence_state::restarted);
    cr_assert(assess(make_loss(), -1s, 2000, 1s) == silence_state::undecided);
    // The list of hosts may be later than the first response.
    cr_assert(
        assess(make_loss(3000ms), 3s, 2000, 3500ms) ==
        silence_state::restarted);
}


Test(silent_losses, old_losses_are_not_blamed_on_their_requests)
{
    using pvt::silence_state;
    cr_assert(assess(make_loss(), -1s, 1000, 11s) == silence_state::over);
    cr_assert(assess(make_loss(), -1s, 2000, 11s) == silence_state::over);
}


// A request under which hosts stop responding without a reset was never
// refused.
Test(silent_losses, a_request_under_which_hosts_fall_silent_is_refused)
{
    // On a busy machine the only connection of a host may be given up before
    // the request is sent; the request then needs other hosts.
    session_options options;
    options.hosts_ = {"a", "b", "c", "d", "e", "f", "g", "h"};
    proxy_session s(catalog::request_kind::at_most_once, {}, options);
    std::vector<tcp::acceptor> hosts;
    std::vector<tcp::endpoint> addresses;
    for (std::size_t i = 0; i < options.hosts_.size(); ++i) {
        hosts.push_back(make_crashing_host(s.context_));
        addresses.push_back(hosts.back().local_endpoint());
    }
    s.place_hosts(addresses);
    cr_assert(is_refused_at_last(s, 100));
}


// Guards against blaming requests for hosts that are slow but alive.
Test(silent_losses, silence_of_hosts_that_accept_connections_is_no_crash)
{
    scripted_response silent;
    silent.parts_ = {{"", 1000000, 0ms}};
    proxy_session s(
        catalog::request_kind::at_most_once,
        std::vector<scripted_response>(20, silent));
    cr_assert_not(is_refused_at_last(s, 12));
    cr_assert_eq(s.upstream_.requests(), 12);
}

#include "proxy_session_test.hpp"

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <thread>

using namespace monsoondock;
using namespace monsoondock::relay::test;
using namespace std::chrono_literals;

using boost::asio::ip::tcp;
using catalog::request_kind;

namespace {

// The largest body that the limits of callers permit.
constexpr std::size_t large_bytes = std::size_t{4} * 1024 * 1024;
// As many such bodies as the proxy has memory for.
constexpr std::size_t large_count = 6;
// More requests than any test sends.
constexpr std::size_t never = 100;


scripted_response make_body()
{
    scripted_response r;
    r.framing_ = framing::length;
    r.body_ = "{}";
    return r;
}


scripted_response make_silence()
{
    scripted_response r;
    r.parts_ = {{"HTTP/1.1 200 OK\r\n", never}};
    return r;
}


request_options make_options(std::size_t body_bytes)
{
    request_options options;
    options.body_ = std::string(body_bytes, 'x');
    return options;
}

} // namespace


// Bodies of requests had a limit each but none together, so that callers of
// large ones exhausted the memory of a small daemon.
Test(request_memory, bodies_that_do_not_fit_are_refused)
{
    std::vector<scripted_response> script(large_count, make_silence());
    script.push_back(make_body());
    proxy_session s(request_kind::at_most_once, script);
    std::vector<tcp::socket> sockets;
    for (std::size_t i = 0; i < large_count; ++i) {
        sockets.push_back(s.connect());
        const std::string request = make_request(make_options(large_bytes));
        boost::asio::write(sockets.back(), boost::asio::buffer(request));
        while (s.upstream_.requests() <= i)
            std::this_thread::sleep_for(1ms);
    }
    const caller_response refused = s.call_once(make_options(64 * 1024));
    cr_assert_eq(refused.status_, 503);
    cr_assert(refused.body_.find("request_memory") != std::string::npos);
    cr_assert_not(refused.retry_after_.empty());
    cr_assert_eq(s.upstream_.requests(), large_count);
    // Small requests are served meanwhile.
    cr_assert_eq(s.call_once(make_options(1000)).status_, 200);
}


// Guards against memory of bodies that stays taken after their responses.
Test(request_memory, memory_is_returned_after_the_response)
{
    constexpr std::size_t count = 3 * large_count;
    proxy_session s(
        request_kind::at_most_once,
        std::vector<scripted_response>(count, make_body()));
    for (std::size_t i = 0; i < count; ++i)
        cr_assert_eq(s.call_once(make_options(large_bytes)).status_, 200);
}


// Guards against callers that announce large bodies and send nothing of them.
Test(request_memory, announced_bodies_take_no_memory)
{
    proxy_session s(request_kind::at_most_once, {make_body()});
    std::vector<tcp::socket> sockets;
    for (std::size_t i = 0; i < 2 * large_count; ++i) {
        sockets.push_back(s.connect());
        const std::string request = make_request(make_options(large_bytes));
        boost::asio::write(
            sockets.back(),
            boost::asio::buffer(request, request.size() - large_bytes + 1));
    }
    while (s.proxy_.busy_connections() < 2 * large_count)
        std::this_thread::sleep_for(1ms);
    cr_assert_eq(s.call_once(make_options(64 * 1024)).status_, 200);
}

#include "proxy_session_test.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <criterion/criterion.h>

#include <thread>

using namespace monsoondock;
using namespace monsoondock::relay::test;
using namespace std::chrono_literals;
using catalog::request_kind;

namespace {

scripted_response plain_response()
{
    scripted_response r;
    r.framing_ = framing::length;
    r.body_ = "done";
    return r;
}


scripted_response conflict_response(const std::string& fields)
{
    scripted_response r;
    r.verbatim_ = "HTTP/1.1 409 Conflict\r\nX-Request-Id: $ID\r\n" + fields +
                  "Content-Length: 14\r\n\r\nalready booked";
    return r;
}


void wait_for_requests(const fake_upstream& upstream, std::size_t count)
{
    while (upstream.requests() < count)
        std::this_thread::sleep_for(1ms);
}

} // namespace

// Guards against refusing requests while another daemon could serve them.
Test(detour, a_daemon_without_links_is_served_by_another)
{
    proxy_session helper(request_kind::resumable_stream, {{}});
    proxy_session cut(request_kind::resumable_stream, {});
    cut.cut_links({&helper});
    const caller_response response = cut.call();
    cr_assert_eq(response.status_, 200);
    cr_assert(response.complete_);
    cr_assert_eq(response.body_, make_events(1, 4));
    cr_assert_eq(cut.upstream_.requests(), 0);
    cr_assert_eq(helper.upstream_.requests(), 1);
}


// Guards against a second run over a detour whose response was lost.
Test(detour, a_request_that_may_run_once_runs_once)
{
    proxy_session lost(request_kind::at_most_once, {});
    proxy_session other(request_kind::at_most_once, {plain_response()});
    proxy_session cut(request_kind::at_most_once, {});
    cut.cut_links({&lost});
    cr_assert_eq(cut.call_once({}).status_, 502);
    cr_assert_eq(lost.upstream_.requests(), 1);
    cut.cut_links({&other});
    cr_assert_eq(cut.call_once({}).status_, 200);
    cr_assert_eq(other.upstream_.requests(), 1);
}


// A 4xx of an upstream without a seal was taken for the helper's own refusal,
// so that a call that had run was answered 503, after which callers repeat.
Test(detour, an_upstream_that_answers_4xx_has_run_the_request)
{
    for (const char* fields :
         {"", "X-Seal: s\r\n", "Monsoondock-Detour-Refused: 1\r\n"}) {
        proxy_session helper(
            request_kind::at_most_once, {conflict_response(fields)});
        proxy_session cut(request_kind::at_most_once, {});
        cut.cut_links({&helper});
        const caller_response response = cut.call();
        cr_assert_eq(response.status_, 409, "%s", fields);
        cr_assert_eq(response.body_, "already booked");
        cr_assert_eq(helper.upstream_.requests(), 1);
    }
}


// Guards against passing on the refusal of a helper whose configuration differs
// for a moment: this daemon has admitted the request.
Test(detour, a_refusal_of_the_helper_itself_is_not_passed_on)
{
    proxy_session helper(request_kind::at_most_once, {plain_response()});
    proxy_session cut(request_kind::at_most_once, {});
    auto view = std::make_shared<relay::serving_view>();
    view->catalog_ = std::make_shared<catalog::catalog>();
    helper.proxy_.publish(view);
    cut.cut_links({&helper});
    const caller_response refused = cut.call();
    cr_assert_eq(refused.status_, 503);
    cr_assert(!refused.retry_after_.empty());
    cr_assert_eq(helper.upstream_.requests(), 0);
}


// Guards against a field between daemons that reaches callers.
Test(detour, callers_do_not_see_the_mark_of_a_refusal)
{
    proxy_session s(
        request_kind::at_most_once,
        {conflict_response("Monsoondock-Detour-Refused: 1\r\n")});
    boost::asio::ip::tcp::socket socket = s.connect();
    boost::beast::flat_buffer buffer;
    boost::asio::write(socket, boost::asio::buffer(make_request()));
    boost::beast::http::response<boost::beast::http::string_body> response;
    boost::beast::http::read(socket, buffer, response);
    cr_assert_eq(response.result_int(), 409);
    cr_assert_eq(response.count("Monsoondock-Detour-Refused"), 0);
    cr_assert_eq(response.count("Monsoondock-Detour-Runs"), 0);
}


// Guards against requests that go from daemon to daemon.
Test(detour, a_request_takes_one_detour_at_most)
{
    proxy_session a(request_kind::idempotent, {plain_response()});
    proxy_session b(request_kind::idempotent, {plain_response()});
    a.cut_links({&b});
    b.cut_links({&a});
    const caller_response response = a.call();
    cr_assert_eq(response.status_, 503);
    cr_assert(!response.retry_after_.empty());
    cr_assert_eq(a.upstream_.requests() + b.upstream_.requests(), 0);
}


Test(detour, callers_are_refused_at_once_when_nobody_has_links)
{
    proxy_session cut(request_kind::at_most_once, {});
    cut.cut_links({});
    const caller_response response = cut.call();
    cr_assert_eq(response.status_, 503);
    cr_assert(!response.retry_after_.empty());
}


Test(detour, another_helper_replaces_one_that_does_not_accept)
{
    proxy_session helper(request_kind::at_most_once, {plain_response()});
    proxy_session cut(request_kind::at_most_once, {});
    std::optional<proxy_session> ended(
        std::in_place,
        request_kind::at_most_once,
        std::vector<scripted_response>{});
    cut.cut_links({&*ended, &helper});
    ended->proxy_.stop();
    ended.reset();
    cr_assert_eq(cut.call().status_, 200);
    cr_assert_eq(helper.upstream_.requests(), 1);
}


// Guards against events that are missing or sent twice after a detour.
Test(detour, a_stream_whose_link_is_cut_is_resumed_by_another_daemon)
{
    scripted_response broken;
    broken.last_event_ = 2;
    broken.finished_ = false;
    broken.ending_ = ending::reset;
    broken.idle_pause_ = 0ms;
    broken.pause_ = 300ms;
    proxy_session helper(request_kind::resumable_stream, {{}});
    proxy_session cut(request_kind::resumable_stream, {broken});
    cut.send();
    wait_for_requests(cut.upstream_, 1);
    cut.cut_links({&helper});
    const caller_response response = cut.receive();
    cr_assert(response.complete_);
    cr_assert_eq(response.body_, make_events(1, 4));
    cr_assert_eq(helper.upstream_.requests(), 1);
}


// Guards against quarantining a request because of cut links of this daemon.
Test(detour, losses_by_cut_links_are_no_crashes)
{
    session_options options;
    options.losses_by_cut_link_ = true;
    proxy_session cut(request_kind::at_most_once, {}, options);
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(cut.call_once({}).status_, 502);
}


Test(detour, losses_by_failed_upstreams_are_crashes)
{
    session_options options;
    options.losses_by_cut_link_ = false;
    proxy_session session(request_kind::at_most_once, {}, options);
    unsigned status = 0;
    for (int i = 0; i < 20 && status != 503; ++i)
        status = session.call_once({}).status_;
    cr_assert_eq(status, 503);
}

#include "../libbase/response_examples_test.hpp"
#include "proxy_session_test.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay::test;

using base::test::response_example;
using catalog::request_kind;
namespace http = boost::beast::http;

namespace {

const std::string id_and_seal = "X-Request-Id: $ID\r\nX-Seal: s\r\n";
const std::string body_fields =
    id_and_seal + "Content-Type: application/json\r\n";
const std::string stream_fields =
    id_and_seal + "Content-Type: text/event-stream\r\n";
const std::string body = "{\"paid\":5}";


scripted_response send_verbatim(std::string text)
{
    scripted_response r;
    r.verbatim_ = std::move(text);
    return r;
}


scripted_response make_whole_body()
{
    scripted_response r;
    r.framing_ = framing::length;
    r.body_ = body;
    return r;
}


session_options one_host()
{
    session_options options;
    options.hosts_ = {"a"};
    return options;
}


// A request that may be executed once is answered 502, which does not say that
// it was not executed, and the next one goes over another connection.
void expect_no_answer(
    request_kind kind,
    const response_example& e,
    const scripted_response& broken,
    const scripted_response& sound)
{
    proxy_session s(kind, {broken, sound}, one_host());
    const caller_response response = s.call();
    cr_expect_eq(
        response.status_,
        502,
        "%s: status %u, body %s",
        e.name_.c_str(),
        response.status_,
        response.body_.c_str());
    cr_expect_eq(s.upstream_.requests(), 1, "%s", e.name_.c_str());
    cr_expect_eq(s.call_once({}).status_, 200, "%s", e.name_.c_str());
    cr_expect_eq(s.upstream_.connections(), 2, "%s", e.name_.c_str());
}


// A request that may be executed again is answered by the next host.
void expect_answer_of_next_host(
    request_kind kind,
    const response_example& e,
    const scripted_response& broken,
    const scripted_response& sound,
    const std::string& whole_body)
{
    proxy_session s(kind, {broken, sound});
    const caller_response response = s.call();
    cr_expect_eq(
        response.status_, 200, "%s: %u", e.name_.c_str(), response.status_);
    cr_expect(
        response.body_ == whole_body,
        "%s: body %s",
        e.name_.c_str(),
        response.body_.c_str());
    cr_expect(response.complete_, "%s", e.name_.c_str());
}


void expect_broken_body(const response_example& e, const std::string& text)
{
    const scripted_response broken = send_verbatim(text);
    expect_no_answer(request_kind::at_most_once, e, broken, make_whole_body());
    expect_answer_of_next_host(
        request_kind::idempotent, e, broken, make_whole_body(), body);
}


void expect_broken_stream(const response_example& e, const std::string& text)
{
    const scripted_response broken = send_verbatim(text);
    expect_no_answer(
        request_kind::at_most_once_stream, e, broken, scripted_response{});
    expect_answer_of_next_host(
        request_kind::resumable_stream,
        e,
        broken,
        scripted_response{},
        make_events(1, 4));
}


// Tries each example as a response, its fields also as trailers and in an
// informational response before a valid one.
void expect_broken(const std::vector<response_example>& examples)
{
    for (const response_example& e : examples) {
        expect_broken_body(e, make_response(e, body_fields, body));
        expect_broken_stream(
            e, make_response(e, stream_fields, make_events(1, 4)));
        if (e.fields_.empty())
            continue;
        expect_broken_body(
            e, make_response_with_trailers(e, body_fields, body));
        expect_broken_body(
            e,
            "HTTP/1.1 103 Early Hints\r\n" + e.fields_ + "\r\n" +
                base::test::make_response({}, body_fields, body));
    }
}


// Calls once on a connection of its own and reads the response with all of its
// header.
http::response<http::string_body> call(proxy_session& s)
{
    boost::asio::ip::tcp::socket socket = s.connect();
    boost::asio::write(socket, boost::asio::buffer(make_request()));
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    boost::system::error_code failure;
    http::read(socket, buffer, response, failure);
    cr_expect(!failure, "%s", failure.message().c_str());
    return response;
}

} // namespace


// Guards against a status that is none, passed on to callers.
Test(broken_response, status_out_of_range)
{
    expect_broken(base::test::invalid_statuses());
}


// Guards against a request that has run being answered as not run, because the
// broken response says so.
Test(broken_response, an_invalid_status_proves_nothing)
{
    for (response_example e : base::test::invalid_statuses()) {
        e.fields_ = "X-Not-Run: 1\r\nRetry-After: 1\r\nX-Leaving: 1\r\n";
        expect_broken_body(e, make_response(e, body_fields, body));
    }
}


// Guards against field names that are no tokens, passed on to callers.
Test(broken_response, field_names)
{
    expect_broken(base::test::invalid_names());
}


// Guards against a line whose name begins with a blank: it was passed on as
// part of another field, and the body was passed on without its framing.
Test(broken_response, folded_lines)
{
    expect_broken(base::test::folded_fields());
    const response_example chunks{"framing in a folded line", "200 OK", {}};
    const std::string fields = body_fields + " Transfer-Encoding: chunked\r\n";
    scripted_response broken = send_verbatim(
        "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + make_chunk(body) +
        make_last_chunk());
    broken.ending_ = ending::close;
    expect_no_answer(
        request_kind::at_most_once, chunks, broken, make_whole_body());
}


// Guards against a late response to another request whose head is broken.
Test(broken_response, response_to_another_request)
{
    for (const response_example& e : base::test::invalid_statuses())
        expect_broken_body(
            e,
            make_response(e, "X-Request-Id: other\r\n", body) +
                base::test::make_response({}, body_fields, body));
}


// Guards against a broken response of another daemon on a detour.
Test(broken_response, response_over_a_detour)
{
    for (const response_example& e : base::test::invalid_statuses()) {
        const fake_upstream helper(
            {send_verbatim(make_response(e, body_fields, body))});
        proxy_session s(request_kind::at_most_once, {});
        auto links = std::make_shared<relay::link_view>();
        for (const char* host : {"a", "b", "c"})
            links->cut_hosts_.insert({host});
        links->helpers_.helpers_.push_back(
            {{"helper"}, {"here"}, helper.address(), 1});
        s.proxy_.publish_links(std::move(links));
        const unsigned status = s.call().status_;
        cr_expect_eq(status, 502, "%s: status %u", e.name_.c_str(), status);
        cr_expect_eq(helper.requests(), 1, "%s", e.name_.c_str());
    }
}


// Guards against checks that hold back or change valid responses.
Test(broken_response, unusual_responses_are_passed_on)
{
    auto examples = base::test::unusual_responses();
    for (const char* status : {"598 Unusual", "599 Unusual"})
        examples.push_back({status, status, {}});
    for (const response_example& e : examples) {
        const std::string text = make_response(e, body_fields, body);
        proxy_session s(request_kind::at_most_once, {send_verbatim(text)});
        const auto response = call(s);
        const std::string status = std::to_string(response.result_int());
        cr_expect(e.status_.starts_with(status), "%s", e.name_.c_str());
        if (e.status_.ends_with("Unusual"))
            cr_expect(response.reason() == "Unusual", "%s", e.name_.c_str());
        cr_expect(response.body() == body, "%s", e.name_.c_str());
        boost::system::error_code failure;
        http::response_parser<http::string_body> sent;
        sent.put(boost::asio::buffer(make_response(e, {}, {})), failure);
        for (const auto& field : sent.get())
            cr_expect(
                field.name() == http::field::content_length ||
                    response[field.name_string()] == field.value(),
                "%s",
                e.name_.c_str());
    }
}


// Guards against a success without the host's seal, or with a coding that is
// not the host's, that is passed on because its status is unassigned.
Test(broken_response, unassigned_success_without_a_seal)
{
    const response_example e{"299", "299 Unusual", {}};
    for (const char* fields :
         {"X-Request-Id: $ID\r\n",
          "X-Request-Id: $ID\r\nX-Seal: s\r\nContent-Encoding: gzip\r\n"}) {
        const scripted_response r =
            send_verbatim(make_response(e, fields, body));
        proxy_session s(request_kind::at_most_once, {r});
        const unsigned status = s.call().status_;
        cr_expect_eq(status, 502, "%s: status %u", fields, status);
        expect_answer_of_next_host(
            request_kind::idempotent, e, r, make_whole_body(), body);
    }
}


// Guards against an informational response that is passed on, or taken for the
// response to another request, because its status is unassigned.
Test(broken_response, unassigned_informational_responses_are_skipped)
{
    const std::string response =
        base::test::make_response({}, body_fields, body);
    for (const char* fields : {"", "X-Request-Id: r-1\r\n"}) {
        std::string informational = "HTTP/1.1 199 Unusual\r\n";
        informational.append(fields).append("\r\n");
        for (const int count : {1, 5}) {
            std::string text;
            for (int i = 0; i < count; ++i)
                text += informational;
            proxy_session s(
                request_kind::at_most_once, {send_verbatim(text + response)});
            const caller_response received = s.call();
            cr_expect_eq(
                received.status_,
                200,
                "%d of %s: status %u",
                count,
                informational.c_str(),
                received.status_);
            cr_expect(received.body_ == body, "%s", received.body_.c_str());
        }
    }
}


// Guards against a sound try that is given up because the host of an earlier,
// suspended one has sent a broken response, whole or in part.
Test(broken_response, a_suspended_try_does_not_replace_a_sound_one)
{
    // Longer than the period in which suspended tries are looked at.
    constexpr std::chrono::milliseconds pause{400};
    for (const auto& examples :
         {base::test::invalid_statuses(), base::test::folded_fields()}) {
        const response_example& e = examples.front();
        const std::string text =
            make_response(e, stream_fields, make_events(1, 4));
        for (const std::size_t size : {text.size(), std::size_t{20}}) {
            scripted_response broken;
            broken.parts_ = {{text.substr(0, size), 2}};
            if (size < text.size())
                broken.parts_.push_back({text.substr(size), 2, pause / 2});
            scripted_response sound;
            sound.parts_ = {
                {make_stream_header() + make_chunk(make_events(1, 4)) +
                     make_last_chunk(),
                 2,
                 pause}};
            session_options options;
            options.step_ms_ = 1;
            options.target_latency_ = std::chrono::milliseconds(200);
            proxy_session s(
                request_kind::resumable_stream, {broken, sound}, options);
            const caller_response response = s.call();
            cr_expect_eq(
                response.status_,
                200,
                "%s, %zu bytes: %u",
                e.name_.c_str(),
                size,
                response.status_);
            cr_expect(response.complete_, "%s", e.name_.c_str());
            cr_expect_eq(s.upstream_.requests(), 2, "%s", e.name_.c_str());
        }
    }
}

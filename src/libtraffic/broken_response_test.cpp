#include "../libbase/raw_server_test.hpp"
#include "../libbase/response_examples_test.hpp"
#include "server_session_test.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::traffic;
using namespace monsoondock::traffic::test;

using base::test::make_response;
using base::test::raw_server;
using base::test::response_example;
using boost::asio::ip::tcp;
namespace http = boost::beast::http;

namespace {

const std::string json_field = "Content-Type: application/json\r\n";
const std::string body = "{\"drafted\":1}";
// So many that the broken engine is chosen for some.
constexpr int many_requests = 16;


std::vector<std::string> repeat(const std::string& text)
{
    return std::vector<std::string>(std::size_t{2} * many_requests, text);
}


void place_groups(server_session& s, const std::vector<tcp::endpoint>& heads)
{
    auto snapshot = std::make_shared<routing_snapshot>(*s.snapshots_.get());
    snapshot->groups_.resize(heads.size());
    for (std::size_t i = 0; i < heads.size(); ++i)
        snapshot->groups_[i].head_ = heads[i];
    s.snapshots_.publish(std::move(snapshot));
}


// Calls a plain service with one host.
http::response<http::string_body>
call_service(server_session& s, const raw_server& host)
{
    auto snapshot = std::make_shared<routing_snapshot>(*s.snapshots_.get());
    service_row service;
    service.deployment_ = {"ledger"};
    service.hosts_.push_back(
        {{"h"}, {}, host.address(), std::make_shared<upstream_load>()});
    snapshot->services_ = {service};
    s.snapshots_.publish(std::move(snapshot));
    boost::asio::write(
        s.socket_,
        boost::asio::buffer(
            std::string("GET /services/ledger/lots HTTP/1.1\r\nHost: x\r\n"
                        "Authorization: Bearer key\r\n\r\n")));
    http::response<http::string_body> response;
    boost::system::error_code failure;
    http::read(s.socket_, s.buffer_, response, failure);
    cr_expect(!failure, "%s", failure.message().c_str());
    return response;
}


// Expects the answer of a daemon to say that the request may have run.
void expect_possible_run(const response_example& e, const std::string& answer)
{
    cr_expect_neq(
        answer.find("\"run\":\"unknown\""),
        std::string::npos,
        "%s: %s",
        e.name_.c_str(),
        answer.c_str());
}


// The request goes to the other group; without one the caller gets an answer of
// the daemon.
void expect_broken_engine(const response_example& e, const std::string& text)
{
    server_session two;
    const raw_server broken(repeat(text));
    place_groups(two, {broken.address(), two.second_.address()});
    for (int i = 0; i < many_requests; ++i) {
        const std::string prompt = "p" + std::to_string(i);
        const caller_response answer = two.complete_chat(prompt);
        cr_expect(
            answer.complete_ && answer.text_ == expected_answer(prompt),
            "%s: status %u",
            e.name_.c_str(),
            answer.status_);
        two.confirm_groups();
    }
    cr_expect_gt(broken.requests(), 0, "%s", e.name_.c_str());
    cr_expect_eq(
        broken.connections(), broken.requests(), "%s", e.name_.c_str());

    server_session one;
    const raw_server alone(repeat(text));
    place_groups(one, {alone.address()});
    const caller_response answer = one.complete_chat("p");
    cr_expect_eq(
        answer.status_, 503, "%s: status %u", e.name_.c_str(), answer.status_);
    expect_possible_run(e, answer.body_);
}


void expect_broken_service(const response_example& e, const std::string& text)
{
    server_session s;
    const raw_server host({text});
    const auto response = call_service(s, host);
    const unsigned status = response.result_int();
    cr_expect_eq(status, 503, "%s: status %u", e.name_.c_str(), status);
    expect_possible_run(e, response.body());
}


void expect_broken(const std::vector<response_example>& examples)
{
    for (const response_example& e : examples) {
        const std::string text = make_response(e, json_field, body);
        expect_broken_engine(e, text);
        expect_broken_service(e, text);
        if (e.fields_.empty())
            continue;
        const std::string trailers =
            make_response_with_trailers(e, json_field, body);
        expect_broken_engine(e, trailers);
        expect_broken_service(e, trailers);
        const std::string informational = "HTTP/1.1 103 Early Hints\r\n" +
                                          e.fields_ + "\r\n" +
                                          make_response({}, json_field, body);
        expect_broken_engine(e, informational);
        expect_broken_service(e, informational);
    }
}

} // namespace


// Guards against a status that is none, passed on to callers.
Test(broken_response, status_out_of_range)
{
    expect_broken(base::test::invalid_statuses());
}


// Guards against field names that are no tokens in what callers get.
Test(broken_response, field_names)
{
    expect_broken(base::test::invalid_names());
}


// Guards against a line whose name begins with a blank, read as a part of the
// value before it, so that its framing is lost.
Test(broken_response, folded_lines)
{
    expect_broken(base::test::folded_fields());
}


// Guards against an informational response that is passed on because its status
// is unassigned.
Test(broken_response, unassigned_informational_responses_are_skipped)
{
    const std::string text =
        "HTTP/1.1 199 Unusual\r\n\r\n" + make_response({}, json_field, body);
    server_session s;
    const raw_server engine({text});
    place_groups(s, {engine.address()});
    const caller_response completion = s.complete_chat("p");
    cr_expect_eq(completion.status_, 200, "%u", completion.status_);
    cr_expect(completion.body_ == body, "%s", completion.body_.c_str());
    const raw_server host({text});
    const auto response = call_service(s, host);
    cr_expect_eq(response.result_int(), 200, "%u", response.result_int());
    cr_expect(response.body() == body, "%s", response.body().c_str());
}


// Guards against valid responses that are held back, and against an unassigned
// status that becomes another one.
Test(broken_response, unusual_responses_are_passed_on)
{
    for (const response_example& e : base::test::unusual_responses()) {
        const auto expected =
            static_cast<unsigned>(std::stoul(e.status_.substr(0, 3)));
        const std::string text = make_response(e, json_field, body);
        server_session s;
        const raw_server engine({text});
        place_groups(s, {engine.address()});
        const caller_response completion = s.complete_chat("p");
        cr_expect_eq(
            completion.status_,
            expected,
            "%s: status %u",
            e.name_.c_str(),
            completion.status_);
        cr_expect(completion.body_ == body, "%s", completion.body_.c_str());
        const raw_server host({text});
        const auto response = call_service(s, host);
        cr_expect_eq(
            response.result_int(),
            expected,
            "%s: status %u",
            e.name_.c_str(),
            response.result_int());
        cr_expect(response.body() == body, "%s", response.body().c_str());
        cr_expect(
            response[http::field::content_type] == "application/json",
            "%s",
            e.name_.c_str());
    }
}


// The same for a failure of a service; that of an engine is not passed on.
Test(broken_response, an_unassigned_failure_of_a_service_is_passed_on)
{
    for (const unsigned status : {598U, 599U}) {
        const response_example e{{}, std::to_string(status) + " Unusual", {}};
        server_session s;
        const raw_server host({make_response(e, json_field, body)});
        const auto response = call_service(s, host);
        cr_expect_eq(
            response.result_int(),
            status,
            "%u: status %u",
            status,
            response.result_int());
        cr_expect(response.body() == body, "%s", response.body().c_str());
    }
}

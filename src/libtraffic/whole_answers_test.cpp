#include "fake_engine_test.hpp"

#include <monsoondock/settings/api_key_hash.hpp>
#include <monsoondock/traffic/server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <criterion/criterion.h>

#include <array>

using namespace monsoondock;
using namespace monsoondock::traffic;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
namespace http = boost::beast::http;

namespace {

// Answer of a completion as a caller sees it.
struct caller_view
{
    unsigned status_ = 0;
    std::string text_;
    /// The stream ended with its last event and its last chunk.
    bool whole_ = false;
    std::string body_;
};


group_row make_group(int number, const tcp::endpoint& head)
{
    group_row row;
    row.group_.value_ = "g" + std::to_string(number);
    row.deployment_.value_ = "m";
    row.generation_.value_ = 1;
    row.head_ = head;
    row.fresh_until_ = base::time_point::max();
    row.load_ = std::make_shared<upstream_load>();
    return row;
}


limits make_limits()
{
    limits bounds;
    bounds.max_body_bytes_ = 1 << 20U;
    bounds.max_header_bytes_ = 16384;
    bounds.max_connections_ = 100;
    bounds.header_timeout_ = 10s;
    bounds.body_timeout_ = 10s;
    bounds.idle_timeout_ = 10s;
    bounds.connect_timeout_ = 5s;
    bounds.upstream_idle_timeout_ = 10s;
    return bounds;
}


// Two fake engines behind a server, and a caller with one connection.
struct rig
{
    test::fake_engine first_;
    test::fake_engine second_;
    snapshot_holder snapshots_;
    metrics::registry metrics_;
    server server_{{snapshots_, metrics_, make_limits(), {}, {}, {}, nullptr}};
    boost::asio::io_context context_;
    tcp::socket socket_{context_};
    boost::beast::flat_buffer buffer_;


    rig()
    {
        publish(base::time_point::max());
        tcp::acceptor port(
            context_, {boost::asio::ip::address_v4::loopback(), 0});
        const tcp::endpoint address = port.local_endpoint();
        port.close();
        cr_assert(base::ok(server_.start(address, 1)));
        socket_.connect(address);
    }


    void publish(base::time_point fresh_until)
    {
        auto snapshot = std::make_shared<routing_snapshot>();
        snapshot->ready_ = true;
        snapshot->models_.push_back({"m"});
        snapshot->workspaces_.push_back(
            {{"w"}, {settings::hash_api_key("key")}, 1000.0, 1000.0});
        snapshot->groups_ = {
            make_group(1, first_.address()), make_group(2, second_.address())};
        for (group_row& row : snapshot->groups_)
            row.fresh_until_ = fresh_until;
        snapshots_.publish(std::move(snapshot));
    }


    void misbehave(test::misbehaviour how, int count)
    {
        first_.misbehave(how, count);
        second_.misbehave(how, count);
    }


    caller_view ask(const std::string& prompt)
    {
        http::request<http::string_body> request(
            http::verb::post, "/v1/chat/completions", 11);
        request.set(http::field::host, "x");
        request.set(http::field::authorization, "Bearer key");
        request.body() = R"({"model":"m","stream":true,"messages":)"
                         R"([{"role":"user","content":")" +
                         prompt + "\"}]}";
        request.prepare_payload();
        http::write(socket_, request);
        http::response<http::string_body> response;
        boost::system::error_code failure;
        http::read(socket_, buffer_, response, failure);
        return view(response, !failure);
    }


    static caller_view
    view(const http::response<http::string_body>& response, bool read_whole)
    {
        caller_view result;
        result.status_ = response.result_int();
        result.body_ = response.body();
        std::size_t at = 0;
        const std::string& body = result.body_;
        const std::string mark = "\"content\":\"";
        while ((at = body.find(mark, at)) != std::string::npos) {
            at += mark.size();
            result.text_ += body.substr(at, body.find('"', at) - at);
        }
        const bool done = body.ends_with("data: [DONE]\n\n");
        result.whole_ = read_whole && done;
        return result;
    }
};

} // namespace


Test(whole_answers, one_connection_carries_many_complete_streams)
{
    rig r;
    for (int i = 0; i < 200; ++i) {
        const std::string prompt = "p" + std::to_string(i);
        const caller_view answer = r.ask(prompt);
        cr_assert(answer.whole_);
        cr_assert(answer.text_ == test::right_answer(prompt));
    }
}


Test(whole_answers, a_fault_of_one_engine_never_reaches_the_caller)
{
    constexpr std::array all{
        test::misbehaviour::cut,
        test::misbehaviour::ends_early,
        test::misbehaviour::crossed,
        test::misbehaviour::doubled};
    rig r;
    for (int i = 0; i < 100; ++i) {
        r.first_.misbehave(all.at(i % all.size()), 1);
        const std::string prompt = "p" + std::to_string(i);
        const caller_view answer = r.ask(prompt);
        cr_assert(answer.whole_, "request %d", i);
        cr_assert(answer.text_ == test::right_answer(prompt));
    }
}


Test(whole_answers, an_answer_that_stays_cut_is_never_shown_as_complete)
{
    rig r;
    r.misbehave(test::misbehaviour::cut, 1000);
    const caller_view answer = r.ask("p");
    cr_assert(!answer.whole_);
    cr_assert(answer.status_ == 200 || answer.status_ == 503);
}


Test(whole_answers, refusals_of_all_engines_are_a_true_not_run)
{
    rig r;
    r.misbehave(test::misbehaviour::stale_generation, 1000);
    const caller_view answer = r.ask("p");
    cr_assert(answer.status_ == 503);
    const auto problem = boost::json::parse(answer.body_);
    cr_assert(problem.at("run").as_string() == "not_run");
}


Test(whole_answers, no_request_goes_out_once_the_evidence_has_expired)
{
    rig r;
    r.publish(base::boot_clock::now() - 1ns);
    const caller_view answer = r.ask("p");
    cr_assert(answer.status_ == 503);
    cr_assert(r.first_.requests() + r.second_.requests() == 0);
}

#pragma once

#include "fake_engine_test.hpp"

#include <monsoondock/settings/api_key_hash.hpp>
#include <monsoondock/traffic/server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace monsoondock::traffic::test {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
namespace http = boost::beast::http;

/// Response to a completion as received by a caller.
struct caller_response
{
    unsigned status_ = 0;
    std::string text_;
    /// True when the stream ended with its [DONE] event and its last chunk.
    bool complete_ = false;
    std::string body_;
};


inline group_row make_group(int number, const tcp::endpoint& head)
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


inline limits make_limits()
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


/// A server with two fake engines, and a caller with one connection to it.
struct test_server
{
    fake_engine first_;
    fake_engine second_;
    snapshot_holder snapshots_;
    metrics::registry metrics_;
    server server_{{snapshots_, metrics_, make_limits(), {}, {}, {}, nullptr}};
    boost::asio::io_context context_;
    tcp::socket socket_{context_};
    boost::beast::flat_buffer buffer_;


    test_server();


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


    void inject_faults(engine_fault fault, int count)
    {
        first_.inject_faults(fault, count);
        second_.inject_faults(fault, count);
    }


    caller_response complete_chat(const std::string& prompt)
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
        return parse_response(response, !failure);
    }


    static caller_response parse_response(
        const http::response<http::string_body>& response, bool read_complete)
    {
        caller_response result;
        result.status_ = response.result_int();
        result.body_ = response.body();
        std::size_t at = 0;
        const std::string& body = result.body_;
        const std::string marker = "\"content\":\"";
        while ((at = body.find(marker, at)) != std::string::npos) {
            at += marker.size();
            result.text_ += body.substr(at, body.find('"', at) - at);
        }
        const bool done = body.ends_with("data: [DONE]\n\n");
        result.complete_ = read_complete && done;
        return result;
    }
};

} // namespace monsoondock::traffic::test

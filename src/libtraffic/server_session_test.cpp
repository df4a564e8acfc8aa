#include "server_session_test.hpp"

#include <monsoondock/settings/api_key_hash.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <criterion/criterion.h>

#include <sstream>

namespace monsoondock::traffic::test {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
namespace http = boost::beast::http;

namespace {

group_row make_group(int number, const tcp::endpoint& head)
{
    group_row row;
    row.group_.value_ = "g" + std::to_string(number);
    row.deployment_.value_ = "m";
    row.generation_.value_ = 1;
    row.head_ = head;
    row.load_ = std::make_shared<upstream_load>();
    return row;
}


tcp::endpoint free_address(boost::asio::io_context& context)
{
    tcp::acceptor port(context, {boost::asio::ip::address_v4::loopback(), 0});
    return port.local_endpoint();
}


caller_response parse_response(
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

} // namespace

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


server_session::server_session(
    const limits& bounds, admin_handler admin, const claim_options& claims)
    : server_(
          {snapshots_,
           metrics_,
           bounds,
           std::move(admin),
           claims,
           {},
           nullptr}),
      address_(free_address(context_))
{
    publish();
    cr_assert(base::ok(server_.start(address_, 1)));
    socket_ = connect();
}


void server_session::publish(base::time_point fresh_until, int groups)
{
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->ready_ = true;
    snapshot->models_.push_back({"m"});
    snapshot->workspaces_.push_back(
        {{"w"}, {settings::hash_api_key("key")}, 1000.0, 1000.0});
    snapshot->groups_ = {
        make_group(1, first_.address()), make_group(2, second_.address())};
    snapshot->groups_.resize(groups);
    for (group_row& row : snapshot->groups_)
        row.fresh_until_ = fresh_until;
    groups_ = snapshot->groups_;
    snapshots_.publish(std::move(snapshot));
}


void server_session::confirm_groups()
{
    for (const group_row& row : groups_)
        row.load_->suspect_ = false;
}


void server_session::inject_faults(engine_fault fault, int count)
{
    first_.inject_faults(fault, count);
    second_.inject_faults(fault, count);
}


std::string server_session::make_chat(const std::string& prompt)
{
    http::request<http::string_body> request(
        http::verb::post, "/v1/chat/completions", 11);
    request.set(http::field::host, "x");
    request.set(http::field::authorization, "Bearer key");
    request.body() = R"({"model":"m","stream":true,"messages":)"
                     R"([{"role":"user","content":")" +
                     prompt + "\"}]}";
    request.prepare_payload();
    std::ostringstream text;
    text << request;
    return text.str();
}


caller_response server_session::complete_chat(const std::string& prompt)
{
    boost::asio::write(socket_, boost::asio::buffer(make_chat(prompt)));
    return receive();
}


caller_response server_session::receive()
{
    http::response_parser<http::string_body> parser;
    boost::system::error_code failure;
    http::read(socket_, buffer_, parser, failure);
    return parse_response(parser.get(), !failure);
}


tcp::socket server_session::connect()
{
    tcp::socket socket(context_);
    socket.connect(address_);
    return socket;
}

} // namespace monsoondock::traffic::test

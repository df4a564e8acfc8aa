#include "proxy_session_test.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <criterion/criterion.h>

#include <limits>
#include <sstream>

namespace monsoondock::relay::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view host_name = "callers.example";
constexpr std::string_view model_name = "m";


header_names make_header_names()
{
    header_names names;
    names.request_id_ = "X-Request-Id";
    names.time_left_ = "X-Time-Left";
    names.target_host_ = "X-Target";
    names.workspace_ = "X-Workspace";
    names.priority_ = "X-Priority";
    names.weight_version_ = "X-Weights";
    names.model_ = "X-Model";
    names.token_counts_ = "X-Tokens";
    names.answer_estimate_ = "X-Estimate";
    names.prompt_parts_ = "X-Parts";
    names.seal_ = "X-Seal";
    names.not_run_ = "X-Not-Run";
    names.leaving_ = "X-Leaving";
    names.limit_ = "X-Limit";
    names.failed_host_ = "X-Failed-Host";
    names.last_event_id_ = "Last-Event-Id";
    return names;
}


proxy_config make_config(const session_options& options)
{
    proxy_config config;
    config.retry_limit_.slack_ = options.retry_slack_;
    config.headers_ = make_header_names();
    config.data_centre_ = {"here"};
    config.min_stall_time_ = options.min_stall_time_;
    config.caller_stall_limit_ = options.caller_stall_limit_;
    config.learned_capacity_ = options.learned_capacity_;
    return config;
}


catalog::engine make_engine(double step_ms)
{
    catalog::engine engine;
    engine.step_ms_ = step_ms;
    catalog::model model;
    model.name_ = model_name;
    engine.models_.push_back(model);
    return engine;
}


std::shared_ptr<const catalog::catalog>
make_catalog(catalog::request_kind kind, const session_options& options)
{
    auto c = std::make_shared<catalog::catalog>();
    c->version_ = 1;
    catalog::route route;
    route.name_ = "r";
    route.host_name_ = host_name;
    route.path_prefix_ = "/";
    route.kind_ = kind;
    route.deployments_.push_back({{"d"}, 1.0});
    route.max_attempts_ = 2;
    route.timeout_ = 60s;
    route.target_latency_ = options.target_latency_;
    c->routes_.push_back(route);
    catalog::deployment deployment;
    deployment.id_ = {"d"};
    deployment.max_connections_ = 100;
    deployment.engine_ = make_engine(options.step_ms_);
    c->deployments_[deployment.id_] = deployment;
    catalog::index_routes(*c);
    return c;
}


view_pointer make_view(
    catalog::request_kind kind,
    const session_options& options,
    const tcp::endpoint& address)
{
    auto view = std::make_shared<serving_view>();
    view->catalog_ = make_catalog(kind, options);
    for (const char* host : options.hosts_) {
        upstream u;
        u.host_ = {host};
        u.address_ = address;
        u.data_centre_ = {"here"};
        u.slots_ = 4;
        u.model_ = model_name;
        if (options.evacuated_host_ != nullptr &&
            u.host_.value_ == options.evacuated_host_) {
            u.data_centre_ = {"evacuated"};
            view->evacuated_.insert(u.data_centre_);
        }
        view->upstreams_[{"d"}].push_back(u);
    }
    return view;
}


proxy_callbacks
make_callbacks(reverse_proxy& proxy, const session_options& options)
{
    proxy_callbacks callbacks;
    if (options.losses_by_cut_link_)
        callbacks.on_connection_lost_ =
            [&proxy, cut = *options.losses_by_cut_link_](const auto& host) {
                proxy.resolve_losses(host, cut);
            };
    return callbacks;
}


tcp::endpoint free_address(asio::io_context& context)
{
    const tcp::acceptor port(context, {asio::ip::address_v4::loopback(), 0});
    return port.local_endpoint();
}

caller_response
read_response(tcp::socket& socket, boost::beast::flat_buffer& buffer)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    boost::system::error_code failure;
    http::read(socket, buffer, parser, failure);
    caller_response result;
    result.status_ = parser.get().result_int();
    result.body_ = parser.get().body();
    result.retry_after_ = std::string(parser.get()[http::field::retry_after]);
    result.chunked_ = parser.chunked();
    result.complete_ = !failure;
    return result;
}

} // namespace

proxy_session::proxy_session(
    catalog::request_kind kind,
    std::vector<scripted_response> script,
    const session_options& options)
    : upstream_(std::move(script)),
      proxy_(make_config(options), make_callbacks(proxy_, options), metrics_),
      kind_(kind), options_(options)
{
    deadline_ = options.deadline_;
    detour_address_ = free_address(context_);
    cr_assert(base::ok(proxy_.accept_detours(detour_address_)));
    address_ = free_address(context_);
    cr_assert(base::ok(proxy_.start(address_)));
    proxy_.publish(make_view(kind, options, upstream_.address()));
    socket_.connect(address_);
}


caller_response proxy_session::call(unsigned http_version)
{
    send(http_version);
    return receive();
}


void proxy_session::send(unsigned http_version)
{
    asio::write(
        socket_,
        asio::buffer(make_request({http_version, deadline_, {}, {}, {}, {}})));
}


caller_response proxy_session::receive()
{
    return read_response(socket_, buffer_);
}


caller_response proxy_session::call_once(const request_options& options)
{
    tcp::socket socket = connect();
    boost::beast::flat_buffer buffer;
    asio::write(socket, asio::buffer(make_request(options)));
    return read_response(socket, buffer);
}


void proxy_session::list_hosts(const std::vector<const char*>& hosts)
{
    session_options options = options_;
    options.hosts_ = hosts;
    proxy_.publish(make_view(kind_, options, upstream_.address()));
}


void proxy_session::place_hosts(const std::vector<tcp::endpoint>& addresses)
{
    auto view = std::make_shared<serving_view>(
        *make_view(kind_, options_, upstream_.address()));
    for (std::size_t i = 0; i < addresses.size(); ++i)
        view->upstreams_[{"d"}].at(i).address_ = addresses[i];
    proxy_.publish(std::move(view));
}


void proxy_session::cut_links(const std::vector<const proxy_session*>& helpers)
{
    auto links = std::make_shared<link_view>();
    for (const char* host : options_.hosts_)
        links->cut_hosts_.insert({host});
    for (const proxy_session* s : helpers)
        links->helpers_.helpers_.push_back(
            {{"helper" + std::to_string(links->helpers_.helpers_.size())},
             {"here"},
             s->detour_address(),
             1});
    proxy_.publish_links(std::move(links));
}


tcp::socket proxy_session::connect(int receive_buffer_bytes)
{
    tcp::socket socket(context_);
    socket.open(tcp::v4());
    if (receive_buffer_bytes > 0)
        socket.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    socket.connect(address_);
    return socket;
}


std::string make_request(const request_options& options)
{
    http::request<http::string_body> request(
        http::verb::post, "/x", options.http_version_);
    request.set(http::field::host, host_name);
    request.set("X-Request-Id", "r-1");
    request.set("X-Time-Left", std::to_string(options.deadline_.count()));
    request.set("X-Model", model_name);
    if (!options.prompt_parts_.empty())
        request.set("X-Parts", options.prompt_parts_);
    if (!options.token_counts_.empty())
        request.set("X-Tokens", options.token_counts_);
    if (!options.last_event_id_.empty())
        request.set("Last-Event-Id", options.last_event_id_);
    request.body() = options.body_;
    request.prepare_payload();
    std::ostringstream text;
    text << request;
    return text.str();
}

} // namespace monsoondock::relay::test

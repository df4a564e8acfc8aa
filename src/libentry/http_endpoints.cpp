#include "control_plane.hpp"
#include "http_call.hpp"
#include "link_peers.hpp"
#include "shutdown_cover.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <functional>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds http_idle_timeout{30000};
constexpr std::size_t max_http_connections = 512;
constexpr std::size_t max_directory_addresses = 64;
// With at least this many daemons in the caller's data centre, the directory
// returns only those.
constexpr std::size_t min_local_daemons = 2;


/// Response of an HTTP handler; 404 by default.
struct http_reply
{
    http::status status_ = http::status::not_found;
    std::string body_;
    std::string content_type_ = "application/json";
};

using http_handler = std::function<http_reply(const std::string& target)>;


asio::awaitable<void> serve_connection(
    std::shared_ptr<std::size_t> open_connections,
    asio::ip::tcp::socket socket,
    http_handler handler)
{
    ++*open_connections;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool keep_open = *open_connections <= max_http_connections;
    while (keep_open) {
        stream.expires_after(http_idle_timeout);
        http::request_parser<http::string_body> parser;
        const auto [read_failure, size] = co_await http::async_read(
            stream, buffer, parser, base::await_tuple);
        if (read_failure)
            break;
        http_reply reply = handler(std::string(parser.get().target()));
        http::response<http::string_body> response(
            reply.status_, parser.get().version());
        response.keep_alive(parser.get().keep_alive());
        response.set(http::field::content_type, reply.content_type_);
        response.body() = std::move(reply.body_);
        response.prepare_payload();
        keep_open = response.keep_alive();
        const auto [write_failure, sent] =
            co_await http::async_write(stream, response, base::await_tuple);
        keep_open = keep_open && !write_failure;
    }
    --*open_connections;
}


asio::awaitable<void> accept_connections(
    control_plane& c,
    std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
    http_handler handler)
{
    const auto open_connections = std::make_shared<std::size_t>(0);
    for (;;) {
        auto [failure, socket] =
            co_await acceptor->async_accept(base::await_tuple);
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure) {
            co_await sleep_for(c, std::chrono::milliseconds(50));
            continue;
        }
        asio::co_spawn(
            c.context_,
            serve_connection(open_connections, std::move(socket), handler),
            asio::detached);
    }
}


void listen(
    control_plane& c,
    const settings::socket_address& address,
    http_handler handler)
{
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(address.ip_), address.port_);
    auto acceptor =
        std::make_shared<asio::ip::tcp::acceptor>(c.context_, endpoint, true);
    asio::co_spawn(
        c.context_,
        accept_connections(c, std::move(acceptor), std::move(handler)),
        asio::detached);
}


http_reply handle_ready(const control_plane& c, const std::string& target)
{
    if (target.substr(0, target.find('?')) != c.adapter_.ready_path_)
        return {};
    return {
        is_ready(c) ? http::status::ok : http::status::service_unavailable,
        "{}"};
}


/// Addresses of the daemons that accept callers: those that are ready, or while
/// none is, those that cover for them.
struct entry_daemons
{
    /// Those in the caller's data centre.
    std::vector<std::string> local_;
    std::vector<std::string> all_;
    /// True when no daemon is ready.
    bool covering_ = false;
};


void add_daemon(
    entry_daemons& daemons,
    const directory_query& query,
    const base::data_centre_id& data_centre,
    std::string address)
{
    if (data_centre == query.data_centre_)
        daemons.local_.push_back(address);
    daemons.all_.push_back(std::move(address));
}


entry_daemons find_daemons(const control_plane& c, const directory_query& query)
{
    entry_daemons daemons;
    const std::set<base::daemon_id> covering = covering_daemons(c);
    daemons.covering_ = !covering.empty();
    // Callers are better served by daemons that have links to the upstreams.
    const bool detours = c.links_.cut_off_ && has_open_peer(c.node_.members());
    if ((is_ready(c) && !detours) || covering.contains(c.config_.daemon_))
        add_daemon(
            daemons,
            query,
            c.config_.data_centre_,
            settings::to_string(c.config_.caller_address_));
    const bool all_detour =
        c.links_.cut_off_ && !has_open_peer(c.node_.members());
    for (const auto& [id, member] : c.node_.members()) {
        const membership::member_record& r = member.record_;
        const bool ready =
            r.state_ == membership::member_state::alive &&
            (r.status_.entry_mode_ == membership::entry_mode::open ||
             (all_detour &&
              r.status_.entry_mode_ == membership::entry_mode::detouring));
        if (ready || covering.contains(id))
            add_daemon(daemons, query, r.data_centre_, to_string(r.caller_));
    }
    return daemons;
}


http_reply handle_directory(const control_plane& c, const std::string& target)
{
    if (target.substr(0, target.find('?')) != c.adapter_.directory_path_)
        return {};
    const directory_query query = c.adapter_.parse_directory_query_(target);
    entry_daemons daemons = find_daemons(c, query);
    auto& chosen = daemons.local_.size() >= min_local_daemons ? daemons.local_
                                                              : daemons.all_;
    if (chosen.empty())
        return {http::status::service_unavailable, "{}"};
    if (chosen.size() > max_directory_addresses)
        chosen.resize(max_directory_addresses);
    return {
        http::status::ok,
        c.adapter_.serialize_directory_response_(
            chosen,
            directory_ttl(daemons.covering_, c.config_.directory_ttl_))};
}


http_reply handle_peer(const control_plane& c, const std::string& target)
{
    if (target == settings_path && c.catalog_.catalog_ != nullptr)
        return {http::status::ok, c.catalog_.text_};
    if (target.starts_with(hosts_path) && c.hosts_.loaded_ && !c.store_failed_)
        return {
            http::status::ok,
            to_text(make_sync_response(
                parse_sync_request(target),
                own_position(c),
                c.hosts_.change_log_,
                c.hosts_.entries_))};
    return {};
}


http_reply handle_metrics(const control_plane& c, const std::string&)
{
    return {http::status::ok, c.metrics_.render(), "text/plain; version=0.0.4"};
}

} // namespace

void start_http_endpoints(control_plane& c)
{
    const auto bind_handler =
        [&c](http_reply (*handler)(const control_plane&, const std::string&)) {
            return [&c, handler](const std::string& target) {
                return handler(c, target);
            };
        };
    listen(c, c.config_.ready_address_, bind_handler(handle_ready));
    listen(c, c.config_.directory_address_, bind_handler(handle_directory));
    listen(c, c.config_.peer_address_, bind_handler(handle_peer));
    listen(c, c.config_.metrics_address_, bind_handler(handle_metrics));
}

} // namespace monsoondock::entry::pvt

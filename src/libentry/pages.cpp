#include "control.hpp"
#include "page_client.hpp"

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

constexpr std::chrono::milliseconds page_idle{30000};
constexpr std::size_t max_page_connections = 512;
constexpr std::size_t max_directory_addresses = 64;
// Own data centre's daemons are enough for callers there from this number on.
constexpr std::size_t enough_near = 2;


/// Answer of a page.
struct page
{
    http::status status_ = http::status::not_found;
    std::string body_;
    std::string type_ = "application/json";
};

using page_function = std::function<page(const std::string& target)>;


asio::awaitable<void> serve_connection(
    std::shared_ptr<std::size_t> open,
    asio::ip::tcp::socket socket,
    page_function read)
{
    ++*open;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool keep = *open <= max_page_connections;
    while (keep) {
        stream.expires_after(page_idle);
        http::request_parser<http::string_body> parser;
        const auto [read_failure, size] = co_await http::async_read(
            stream, buffer, parser, base::await_tuple);
        if (read_failure)
            break;
        page p = read(std::string(parser.get().target()));
        http::response<http::string_body> response(
            p.status_, parser.get().version());
        response.keep_alive(parser.get().keep_alive());
        response.set(http::field::content_type, p.type_);
        response.body() = std::move(p.body_);
        response.prepare_payload();
        keep = response.keep_alive();
        const auto [write_failure, sent] =
            co_await http::async_write(stream, response, base::await_tuple);
        keep = keep && !write_failure;
    }
    --*open;
}


asio::awaitable<void> accept_pages(
    control& c,
    std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
    page_function read)
{
    const auto open = std::make_shared<std::size_t>(0);
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
            serve_connection(open, std::move(socket), read),
            asio::detached);
    }
}


void listen(
    control& c, const settings::socket_address& address, page_function read)
{
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(address.ip_), address.port_);
    auto acceptor =
        std::make_shared<asio::ip::tcp::acceptor>(c.context_, endpoint, true);
    asio::co_spawn(
        c.context_,
        accept_pages(c, std::move(acceptor), std::move(read)),
        asio::detached);
}


page ready_page(const control& c, const std::string& target)
{
    if (target.substr(0, target.find('?')) != c.adapter_.ready_path_)
        return {};
    return {
        is_ready(c) ? http::status::ok : http::status::service_unavailable,
        "{}"};
}


/// Daemons that callers may use, those of the caller's data centre apart.
struct entry_daemons
{
    std::vector<std::string> near_;
    std::vector<std::string> all_;
};


void add_daemon(
    entry_daemons& d,
    const directory_query& q,
    const base::data_centre_id& data_centre,
    std::string address)
{
    if (data_centre == q.data_centre_)
        d.near_.push_back(address);
    d.all_.push_back(std::move(address));
}


entry_daemons find_daemons(const control& c, const directory_query& q)
{
    entry_daemons d;
    if (is_ready(c))
        add_daemon(
            d,
            q,
            c.config_.data_centre_,
            settings::to_string(c.config_.caller_address_));
    for (const auto& [id, member] : c.node_.members()) {
        const membership::member_record& r = member.record_;
        if (r.state_ == membership::member_state::alive &&
            r.status_.entry_mode_ == membership::entry_mode::open)
            add_daemon(d, q, r.data_centre_, to_string(r.caller_));
    }
    return d;
}


page directory_page(const control& c, const std::string& target)
{
    if (target.substr(0, target.find('?')) != c.adapter_.directory_path_)
        return {};
    const directory_query q = c.adapter_.parse_directory_query_(target);
    entry_daemons d = find_daemons(c, q);
    auto& chosen = d.near_.size() >= enough_near ? d.near_ : d.all_;
    if (chosen.empty())
        return {http::status::service_unavailable, "{}"};
    if (chosen.size() > max_directory_addresses)
        chosen.resize(max_directory_addresses);
    return {
        http::status::ok,
        c.adapter_.serialize_directory_response_(
            chosen, c.config_.directory_ttl_)};
}


page peer_page(const control& c, const std::string& target)
{
    if (target == settings_page && c.catalog_.catalog_ != nullptr)
        return {http::status::ok, c.catalog_.text_};
    if (target.starts_with(hosts_page) && c.hosts_.known_ && !c.store_failed_)
        return {
            http::status::ok,
            to_text(answer_feed(
                parse_feed_question(target),
                own_position(c),
                c.hosts_.log_,
                c.hosts_.entries_))};
    return {};
}


page metrics_page(const control& c, const std::string&)
{
    return {http::status::ok, c.metrics_.render(), "text/plain; version=0.0.4"};
}

} // namespace

void start_pages(control& c)
{
    const auto bind = [&c](page (*read)(const control&, const std::string&)) {
        return [&c, read](const std::string& target) {
            return read(c, target);
        };
    };
    listen(c, c.config_.ready_address_, bind(ready_page));
    listen(c, c.config_.directory_address_, bind(directory_page));
    listen(c, c.config_.peer_address_, bind(peer_page));
    listen(c, c.config_.metrics_address_, bind(metrics_page));
}

} // namespace monsoondock::entry::pvt

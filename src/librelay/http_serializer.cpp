#include "http_serializer.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace monsoondock::relay::pvt {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

bool same_name(std::string_view a, std::string_view b)
{
    return beast::iequals(
        beast::string_view(a.data(), a.size()),
        beast::string_view(b.data(), b.size()));
}


// Fields that apply to a single connection or describe the message framing.
bool is_hop_by_hop(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}


// Returns the additional hop-by-hop fields that the Connection field names.
template <class Fields>
std::vector<std::string> connection_tokens(const Fields& fields)
{
    std::vector<std::string> names;
    for (const auto& token : http::token_list(fields[http::field::connection]))
        names.emplace_back(token);
    return names;
}


bool contains(const std::vector<std::string>& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [&](const auto& n) {
        return same_name(n, name);
    });
}


bool is_set_by_proxy(const header_names& names, std::string_view name)
{
    const std::array set_by_proxy{
        &names.time_left_,
        &names.target_host_,
        &names.workspace_,
        &names.priority_,
        &names.weight_version_,
        &names.last_event_id_};
    return std::any_of(
        set_by_proxy.begin(), set_by_proxy.end(), [&](const auto* n) {
            return same_name(*n, name);
        });
}


template <class Fields>
void append_end_to_end(std::string& text, const Fields& fields)
{
    const auto dropped = connection_tokens(fields);
    for (const auto& f : fields) {
        const std::string_view name(f.name_string());
        if (is_hop_by_hop(f.name()) || contains(dropped, name) ||
            same_name(name, detour_refused_field))
            continue;
        append_field(text, name, f.value());
    }
}


std::string status_line(const http_response& response)
{
    std::string text = "HTTP/1.1 ";
    text.append(std::to_string(response.result_int())).append(" ");
    text.append(std::string_view(response.reason())).append("\r\n");
    append_end_to_end(text, response);
    return text;
}


void append_connection(std::string& text, bool keep_alive)
{
    if (!keep_alive)
        append_field(text, "Connection", "close");
}

} // namespace

void append_field(
    std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}


std::string make_request_head(
    const exchange& e,
    const header_names& names,
    const forwarding_fields& fields)
{
    const http_request& r = e.request_;
    std::string text(r.method_string());
    text.append(" ").append(std::string_view(r.target()));
    text.append(" HTTP/1.1\r\n");
    const auto dropped = connection_tokens(r);
    for (const auto& f : r) {
        const std::string_view name(f.name_string());
        if (is_hop_by_hop(f.name()) || contains(dropped, name) ||
            is_set_by_proxy(names, name) ||
            f.name() == http::field::authorization)
            continue;
        append_field(text, name, f.value());
    }
    const auto left = std::max<std::int64_t>(1, fields.time_left_.count());
    append_field(text, names.time_left_, std::to_string(left));
    if (!fields.last_event_id_.empty())
        append_field(text, names.last_event_id_, fields.last_event_id_);
    return text;
}


std::string finish_request(std::string head, const exchange& e)
{
    const http_request& r = e.request_;
    const bool has_body =
        !r.body().empty() || r.has_content_length() || r.chunked();
    if (has_body)
        append_field(head, "Content-Length", std::to_string(r.body().size()));
    head.append("\r\n");
    return head;
}


std::string serialize_upstream_request(
    const exchange& e,
    const header_names& names,
    const forwarding_fields& fields)
{
    std::string head = make_request_head(e, names, fields);
    append_field(head, names.target_host_, fields.target_.value_);
    if (!e.workspace_.empty())
        append_field(head, names.workspace_, e.workspace_);
    if (!e.model_.empty())
        append_field(head, names.priority_, std::to_string(e.priority_));
    return finish_request(std::move(head), e);
}


std::string
serialize_response_header(const http_response& response, bool keep_alive)
{
    std::string text = status_line(response);
    const bool no_body = response.result() == http::status::no_content ||
                         response.result() == http::status::not_modified;
    if (!no_body)
        append_field(
            text, "Content-Length", std::to_string(response.body().size()));
    append_connection(text, keep_alive);
    text.append("\r\n");
    return text;
}


std::string serialize_stream_header(
    const http_response& response, bool keep_alive, bool chunked)
{
    std::string text = status_line(response);
    if (chunked)
        append_field(text, "Transfer-Encoding", "chunked");
    append_connection(text, keep_alive && chunked);
    text.append("\r\n");
    return text;
}


std::string serialize_chunk(std::string_view bytes)
{
    std::array<char, 24> size{};
    const int length =
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string text(size.data(), static_cast<std::size_t>(length));
    text.append(bytes).append("\r\n");
    return text;
}


std::string serialize_local_response(
    const local_response& response,
    const header_names& names,
    std::string_view request_id,
    bool keep_alive)
{
    std::string body = R"({"error":")";
    body.append(response.reason_).append("\"}\n");
    std::string text = "HTTP/1.1 ";
    text.append(std::to_string(static_cast<unsigned>(response.status_)));
    text.append(" ");
    text.append(std::string_view(http::obsolete_reason(response.status_)));
    text.append("\r\n");
    if (!request_id.empty())
        append_field(text, names.request_id_, request_id);
    if (response.refuses_detour_)
        append_field(text, detour_refused_field, "1");
    if (response.retry_after_) {
        std::array<char, 24> seconds{};
        std::snprintf(
            seconds.data(),
            seconds.size(),
            "%.3f",
            double(response.retry_after_->count()) / 1000.0);
        append_field(text, "Retry-After", seconds.data());
    }
    append_field(text, "Content-Type", "application/json");
    append_field(text, "Content-Length", std::to_string(body.size()));
    append_connection(text, keep_alive);
    text.append("\r\n").append(body);
    return text;
}

} // namespace monsoondock::relay::pvt

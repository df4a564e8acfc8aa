#include "detour.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <charconv>

namespace monsoondock::relay::pvt {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view from_field = "Monsoondock-Detour-From";
constexpr std::string_view runs_field = "Monsoondock-Detour-Runs";
constexpr std::string_view tried_field = "Monsoondock-Detour-Tried";


beast::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

// The caller's own fields come before those of the daemon.
std::string_view last_value(const exchange& e, std::string_view name)
{
    std::string_view value;
    const auto [first, end] = e.request_.equal_range(to_beast(name));
    for (auto f = first; f != end; ++f)
        value = {f->value().data(), f->value().size()};
    return value;
}

} // namespace

std::string serialize_detour_request(
    const exchange& e,
    const header_names& names,
    const forwarding_fields& fields,
    const base::daemon_id& self)
{
    std::string head = make_request_head(e, names, fields);
    const auto key = e.request_[http::field::authorization];
    if (!key.empty())
        append_field(head, "Authorization", {key.data(), key.size()});
    append_field(head, from_field, self.value_);
    append_field(head, runs_field, std::to_string(e.possible_runs_ - 1));
    std::string tried;
    for (const base::host_id& host : e.tried_)
        tried.append(tried.empty() ? "" : ",").append(host.value_);
    append_field(head, tried_field, tried);
    return finish_request(std::move(head), e);
}


void read_detour_fields(exchange& e)
{
    e.is_detour_ = true;
    e.detour_from_ = {std::string(last_value(e, from_field))};
    const std::string_view runs = last_value(e, runs_field);
    std::from_chars(runs.data(), runs.data() + runs.size(), e.possible_runs_);
    for (const auto& host :
         http::token_list(to_beast(last_value(e, tried_field))))
        e.tried_.insert({std::string(host)});
    e.request_.erase(to_beast(from_field));
    e.request_.erase(to_beast(runs_field));
    e.request_.erase(to_beast(tried_field));
}


bool is_refused_by_helper(const http_response& response)
{
    return response.count(to_beast(detour_refused_field)) > 0;
}

} // namespace monsoondock::relay::pvt

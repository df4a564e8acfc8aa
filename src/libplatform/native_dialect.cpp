#include "percent_encode.hpp"
#include "store_json.hpp"

#include <monsoondock/platform/store_dialect.hpp>

namespace monsoondock::platform {

namespace http = boost::beast::http;

using pvt::percent_encode;

namespace {

constexpr unsigned http_version_1_1 = 11;


http_request make_request(http::verb method, const std::string& target)
{
    http_request request(method, target, http_version_1_1);
    request.set(http::field::host, "platform");
    return request;
}


std::string quoted(version v)
{
    return '"' + std::to_string(v.value_) + '"';
}


http_request make_get(std::string_view key)
{
    return make_request(http::verb::get, "/v1/objects/" + percent_encode(key));
}


http_request make_list(std::string_view prefix, std::string_view)
{
    return make_request(
        http::verb::get, "/v1/objects?prefix=" + percent_encode(prefix));
}


http_request make_put(
    std::string_view key, std::string_view value, write_condition condition)
{
    auto request =
        make_request(http::verb::put, "/v1/objects/" + percent_encode(key));
    if (const auto* expected = std::get_if<if_version>(&condition))
        request.set(http::field::if_match, quoted(expected->version_));
    else
        request.set(http::field::if_none_match, "*");
    request.set(http::field::content_type, "application/json");
    request.body() = std::string(value);
    request.prepare_payload();
    return request;
}


http_request make_erase(std::string_view key, version expected)
{
    auto request =
        make_request(http::verb::delete_, "/v1/objects/" + percent_encode(key));
    request.set(http::field::if_match, quoted(expected));
    return request;
}


http_request make_watch(
    std::string_view prefix, version from, std::chrono::milliseconds wait)
{
    return make_request(
        http::verb::get,
        "/v1/watch?prefix=" + percent_encode(prefix) +
            "&from=" + std::to_string(from.value_) +
            "&wait_ms=" + std::to_string(wait.count()));
}


base::result<object> read_object(std::string_view, std::string_view body)
{
    return pvt::parse_object(body);
}


base::result<listing_page> read_listing(std::string_view, std::string_view body)
{
    auto all = pvt::parse_listing(body);
    if (!base::ok(all))
        return base::error(all);
    return listing_page{base::value(std::move(all)), {}};
}


base::result<change_batch> read_changes(std::string_view, std::string_view body)
{
    return pvt::parse_changes(body);
}

} // namespace

const store_dialect& native_dialect()
{
    static const store_dialect dialect{
        make_get,
        make_list,
        make_put,
        make_erase,
        make_watch,
        read_object,
        read_listing,
        read_changes,
        pvt::parse_version,
        http::status::precondition_failed,
        "X-Store-Era"};
    return dialect;
}

} // namespace monsoondock::platform

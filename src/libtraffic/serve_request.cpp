#include "serve_request.hpp"

#include "chat_relay.hpp"
#include "entry_host_ranking.hpp"
#include "refusals.hpp"
#include "service_relay.hpp"

#include <monsoondock/settings/api_key_hash.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <random>
#include <string_view>
#include <variant>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned http_version_1_1 = 11;
constexpr std::chrono::milliseconds max_deadline = std::chrono::hours(1);
constexpr std::chrono::milliseconds not_ready_retry_after{1000};
constexpr std::size_t max_entry_hosts = 8;


buffered_response json_response(const json::value& body)
{
    buffered_response response(http::status::ok, http_version_1_1);
    response.set(http::field::content_type, "application/json");
    response.body() = json::serialize(body);
    return response;
}


buffered_response text_response(http::status status, std::string text)
{
    buffered_response response(status, http_version_1_1);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = std::move(text);
    return response;
}


reply list_models(const routing_snapshot& snapshot)
{
    json::array data;
    for (const base::deployment_id& model : snapshot.models_)
        data.push_back({{"id", model.value_}, {"object", "model"}});
    return json_response({{"object", "list"}, {"data", std::move(data)}});
}


reply list_entry_hosts(
    const traffic_thread& thread, const request_context& context)
{
    json::array hosts;
    const auto ranked = rank_entry_hosts(
        context.workspace_, context.snapshot_->entry_hosts_, max_entry_hosts);
    for (const std::string& address : ranked)
        hosts.emplace_back(address);
    return json_response(
        {{"hosts", std::move(hosts)},
         {"ttl_ms", thread.options_.limits_.entry_host_ttl_.count()}});
}


const workspace_row* find_workspace(
    const routing_snapshot& snapshot, const settings::api_key_hash& hash)
{
    for (const workspace_row& row : snapshot.workspaces_) {
        const auto& hashes = row.key_hashes_;
        if (std::find(hashes.begin(), hashes.end(), hash) != hashes.end())
            return &row;
    }
    return nullptr;
}


// Returns the workspace of the API key, or a refusal.
std::variant<refusal, const workspace_row*>
authenticate(request_context& context)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header =
        context.request_[http::field::authorization];
    const workspace_row* workspace = nullptr;
    if (header.starts_with(scheme))
        workspace = find_workspace(
            *context.snapshot_,
            settings::hash_api_key(header.substr(scheme.size())));
    if (workspace == nullptr)
        return bad_request(
            http::status::unauthorized,
            "unknown_key",
            "the Authorization header names no known API key");
    context.workspace_ = workspace->workspace_;
    context.label_.workspace_ = workspace->workspace_.value_;
    return workspace;
}


std::optional<refusal> read_priority(request_context& context)
{
    context.label_.class_ = "interactive";
    const auto header = context.request_.find("X-Priority");
    if (header == context.request_.end())
        return std::nullopt;
    if (header->value() != "interactive" && header->value() != "report")
        return bad_request(
            http::status::bad_request,
            "invalid_priority",
            "X-Priority must be `interactive` or `report`");
    context.label_.class_ = std::string(header->value());
    return std::nullopt;
}


std::optional<refusal> read_deadline(request_context& context)
{
    const auto header = context.request_.find("X-Deadline-Ms");
    if (header == context.request_.end())
        return std::nullopt;
    const std::string_view text = header->value();
    std::int64_t ms = 0;
    const auto [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), ms);
    const bool parsed_all = end == text.data() + text.size();
    if (failure != std::errc() || !parsed_all || ms < 1 ||
        ms > max_deadline.count())
        return bad_request(
            http::status::bad_request,
            "invalid_deadline",
            "X-Deadline-Ms must be an integer from 1 to 3600000");
    context.deadline_ = context.arrived_ + std::chrono::milliseconds(ms);
    return std::nullopt;
}


// Serves the paths that need no API key; returns nullopt for other paths.
std::optional<reply>
serve_unauthenticated(traffic_thread& thread, const request_context& context)
{
    const std::string target(context.request_.target());
    if (context.request_.method() != http::verb::get)
        return std::nullopt;
    const auto& snapshot = *context.snapshot_;
    if (target == "/healthz")
        return text_response(http::status::ok, "ok\n");
    if (target == "/readyz") {
        if (snapshot.ready_ && !snapshot.draining_)
            return text_response(http::status::ok, "ready\n");
        return text_response(
            http::status::service_unavailable,
            snapshot.draining_ ? "draining\n" : "not ready\n");
    }
    if (target == "/metrics")
        return text_response(
            http::status::ok, thread.options_.metrics_.render());
    if (target.starts_with("/admin/") && thread.options_.admin_) {
        auto body = thread.options_.admin_(target);
        if (!body)
            return bad_request(
                http::status::not_found, "unknown_path", "no such path");
        buffered_response response(http::status::ok, http_version_1_1);
        response.set(http::field::content_type, "application/json");
        response.body() = std::move(*body);
        return response;
    }
    return std::nullopt;
}


bool is_rate_limited(const request_context& context)
{
    const std::string_view target = context.request_.target();
    if (context.request_.method() != http::verb::get)
        return true;
    return target != "/v1/models" && target != "/v1/entry-hosts";
}


// Adds jitter to Retry-After, so that callers refused at the same time don't
// all retry at the same time.
std::optional<refusal>
check_request_rate(traffic_thread& thread, const workspace_row& workspace)
{
    const auto wait =
        thread.shared_.limiters_.take(workspace, base::boot_clock::now());
    if (wait == std::chrono::nanoseconds(0))
        return std::nullopt;
    const auto min_wait = std::chrono::ceil<std::chrono::milliseconds>(wait);
    std::uniform_int_distribution<std::int64_t> jitter(0, min_wait.count());
    return request_rate_exceeded(
        min_wait + std::chrono::milliseconds(jitter(thread.random_)));
}


std::optional<refusal>
admit_caller(traffic_thread& thread, request_context& context)
{
    if (!context.snapshot_->ready_)
        return refusal{
            http::status::service_unavailable,
            "not_ready",
            "the daemon has no settings yet",
            run_state::unsent,
            not_ready_retry_after};
    auto authenticated = authenticate(context);
    if (auto* refused = std::get_if<refusal>(&authenticated))
        return std::move(*refused);
    if (auto refused = read_priority(context))
        return refused;
    if (auto refused = read_deadline(context))
        return refused;
    if (!is_rate_limited(context))
        return std::nullopt;
    return check_request_rate(
        thread, *std::get<const workspace_row*>(authenticated));
}


// A request is accepted when it is due, or a silent upstream would be given up,
// before the daemon exits.
bool may_outlast_daemon(
    const traffic_thread& thread, const request_context& context)
{
    base::time_point end =
        context.arrived_ + thread.options_.limits_.upstream_idle_timeout_;
    if (context.deadline_)
        end = std::min(end, *context.deadline_);
    return end > thread.shared_.exit_at_.load();
}


refusal wrong_method(const char* allowed)
{
    return bad_request(
        http::status::method_not_allowed,
        "wrong_method",
        std::string("the path allows only ") + allowed);
}

} // namespace

asio::awaitable<reply> serve_request(
    traffic_thread& thread, caller_connection& caller, request_context& context)
{
    if (auto answer = serve_unauthenticated(thread, context))
        co_return std::move(*answer);
    if (auto refused = admit_caller(thread, context))
        co_return std::move(*refused);
    const std::string_view target = context.request_.target();
    const bool get = context.request_.method() == http::verb::get;
    const bool is_relayed = !get || target.starts_with("/services/");
    if (is_relayed && may_outlast_daemon(thread, context))
        co_return stopping(run_state::unsent);
    const bool post = context.request_.method() == http::verb::post;
    if (target == "/v1/chat/completions") {
        if (!post)
            co_return wrong_method("POST");
        co_return co_await serve_chat(thread, caller, context);
    }
    if (target.starts_with("/services/"))
        co_return co_await serve_service_call(thread, context);
    if (target == "/v1/models" && get)
        co_return list_models(*context.snapshot_);
    if (target == "/v1/entry-hosts" && get)
        co_return list_entry_hosts(thread, context);
    co_return bad_request(
        http::status::not_found, "unknown_path", "no such path");
}

} // namespace monsoondock::traffic::pvt

#include "host_sync.hpp"

#include <monsoondock/base/query_parameter.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace monsoondock::entry::pvt {

namespace json = boost::json;

namespace {

constexpr std::string_view source_parameter = "source";
constexpr std::string_view after_parameter = "after";
constexpr std::string_view digest_parameter = "digest";

} // namespace

host_sync_response make_sync_response(
    const host_sync_request& request,
    const host_log_position& own,
    const host_change_log& log,
    const host_entries& entries)
{
    host_sync_response response{own, {}, {}};
    auto changes = request.from_.source_ == own.source_
                       ? log.after(request.from_.sequence_)
                       : std::nullopt;
    if (changes) {
        response.changes_ = std::move(*changes);
        return response;
    }
    const host_digest digest = compute_digest(entries);
    for (std::size_t bucket = 0; bucket < digest.size(); ++bucket) {
        if (digest[bucket] != request.digest_[bucket])
            response.complete_buckets_.push_back(bucket);
    }
    for (const auto& [id, entry] : entries) {
        const std::size_t bucket = bucket_of(id);
        if (digest[bucket] != request.digest_[bucket])
            response.changes_.push_back({entry, false});
    }
    return response;
}


std::optional<host_sync_response> response_from_push(
    const host_log_position& applied,
    const host_log_position& up_to,
    const std::vector<platform::change>& changes)
{
    if (applied.source_ != up_to.source_ ||
        applied.sequence_ >= up_to.sequence_)
        return std::nullopt;
    const std::uint64_t missing = up_to.sequence_ - applied.sequence_;
    if (missing > changes.size())
        return std::nullopt;
    return host_sync_response{
        up_to,
        {},
        {changes.end() - static_cast<std::ptrdiff_t>(missing), changes.end()}};
}


std::string to_query(const host_sync_request& request)
{
    std::string text = "?";
    text.append(source_parameter)
        .append("=")
        .append(request.from_.source_)
        .append("&");
    text.append(after_parameter).append("=");
    text.append(std::to_string(request.from_.sequence_)).append("&");
    text.append(digest_parameter).append("=").append(to_text(request.digest_));
    return text;
}


host_sync_request parse_sync_request(const std::string& target)
{
    host_sync_request request;
    request.from_.source_ = base::query_parameter(target, source_parameter);
    const auto after = base::query_parameter(target, after_parameter);
    std::from_chars(
        after.data(), after.data() + after.size(), request.from_.sequence_);
    if (const auto digest =
            parse_digest(base::query_parameter(target, digest_parameter)))
        request.digest_ = *digest;
    return request;
}


std::string to_text(const host_sync_response& response)
{
    json::array changes;
    for (const platform::change& c : response.changes_)
        changes.push_back(json::object{
            {"key", c.object_.key_},
            {"version", c.object_.version_.value_},
            {"era", c.object_.version_.era_},
            {"value", c.object_.value_},
            {"deleted", c.deleted_}});
    json::array complete_buckets;
    for (const std::size_t bucket : response.complete_buckets_)
        complete_buckets.emplace_back(bucket);
    return json::serialize(json::object{
        {"source", response.position_.source_},
        {"sequence", response.position_.sequence_},
        {"whole_parts", std::move(complete_buckets)},
        {"changes", std::move(changes)}});
}


std::optional<host_sync_response> parse_sync_response(const std::string& text)
{
    try {
        // Entries of other writers may contain invalid UTF-8.
        json::parse_options options;
        options.allow_invalid_utf8 = true;
        const json::value parsed = json::parse(text, {}, options);
        const json::object& o = parsed.as_object();
        host_sync_response response;
        response.position_ = {
            std::string(o.at("source").as_string()),
            o.at("sequence").to_number<std::uint64_t>()};
        for (const json::value& bucket : o.at("whole_parts").as_array())
            response.complete_buckets_.push_back(
                bucket.to_number<std::size_t>());
        for (const json::value& v : o.at("changes").as_array()) {
            const json::object& c = v.as_object();
            response.changes_.push_back(
                {{std::string(c.at("key").as_string()),
                  {c.at("version").to_number<std::uint64_t>(),
                   c.at("era").to_number<std::uint64_t>()},
                  std::string(c.at("value").as_string())},
                 c.at("deleted").as_bool()});
        }
        return response;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace monsoondock::entry::pvt

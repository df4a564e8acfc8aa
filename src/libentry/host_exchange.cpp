#include "host_exchange.hpp"

#include <monsoondock/base/query_parameter.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace monsoondock::entry::pvt {

namespace json = boost::json;

namespace {

constexpr std::string_view source_name = "source";
constexpr std::string_view after_name = "after";
constexpr std::string_view digest_name = "digest";

} // namespace

feed_answer answer_feed(
    const feed_question& question,
    const feed_position& own,
    const host_log& log,
    const host_entries& entries)
{
    feed_answer a{own, {}, {}};
    auto changes = question.from_.source_ == own.source_
                       ? log.after(question.from_.sequence_)
                       : std::nullopt;
    if (changes) {
        a.changes_ = std::move(*changes);
        return a;
    }
    const host_digest digest = digest_of(entries);
    for (std::size_t part = 0; part < digest.size(); ++part) {
        if (digest[part] != question.digest_[part])
            a.whole_parts_.push_back(part);
    }
    for (const auto& [id, entry] : entries) {
        const std::size_t part = part_of(id);
        if (digest[part] != question.digest_[part])
            a.changes_.push_back({entry, false});
    }
    return a;
}


std::optional<feed_answer> take_push(
    const feed_position& taken,
    const feed_position& up_to,
    const std::vector<platform::change>& changes)
{
    if (taken.source_ != up_to.source_ || taken.sequence_ >= up_to.sequence_)
        return std::nullopt;
    const std::uint64_t missing = up_to.sequence_ - taken.sequence_;
    if (missing > changes.size())
        return std::nullopt;
    return feed_answer{
        up_to,
        {},
        {changes.end() - static_cast<std::ptrdiff_t>(missing), changes.end()}};
}


std::string to_query(const feed_question& q)
{
    std::string text = "?";
    text.append(source_name).append("=").append(q.from_.source_).append("&");
    text.append(after_name).append("=");
    text.append(std::to_string(q.from_.sequence_)).append("&");
    text.append(digest_name).append("=").append(to_text(q.digest_));
    return text;
}


feed_question parse_feed_question(const std::string& target)
{
    feed_question q;
    q.from_.source_ = base::query_parameter(target, source_name);
    const auto after = base::query_parameter(target, after_name);
    std::from_chars(
        after.data(), after.data() + after.size(), q.from_.sequence_);
    if (const auto digest =
            parse_digest(base::query_parameter(target, digest_name)))
        q.digest_ = *digest;
    return q;
}


std::string to_text(const feed_answer& a)
{
    json::array changes;
    for (const platform::change& c : a.changes_)
        changes.push_back(json::object{
            {"key", c.object_.key_},
            {"version", c.object_.version_.value_},
            {"value", c.object_.value_},
            {"deleted", c.deleted_}});
    json::array whole_parts;
    for (const std::size_t part : a.whole_parts_)
        whole_parts.emplace_back(part);
    return json::serialize(json::object{
        {"source", a.position_.source_},
        {"sequence", a.position_.sequence_},
        {"whole_parts", std::move(whole_parts)},
        {"changes", std::move(changes)}});
}


std::optional<feed_answer> parse_feed_answer(const std::string& text)
{
    try {
        const json::value parsed = json::parse(text);
        const json::object& o = parsed.as_object();
        feed_answer a;
        a.position_ = {
            std::string(o.at("source").as_string()),
            o.at("sequence").to_number<std::uint64_t>()};
        for (const json::value& part : o.at("whole_parts").as_array())
            a.whole_parts_.push_back(part.to_number<std::size_t>());
        for (const json::value& v : o.at("changes").as_array()) {
            const json::object& c = v.as_object();
            a.changes_.push_back(
                {{std::string(c.at("key").as_string()),
                  {c.at("version").to_number<std::uint64_t>()},
                  std::string(c.at("value").as_string())},
                 c.at("deleted").as_bool()});
        }
        return a;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace monsoondock::entry::pvt

#include "host_log.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace monsoondock::entry::pvt {

namespace json = boost::json;

void host_log::add(platform::change c)
{
    ++sequence_;
    changes_.push_back(std::move(c));
    if (changes_.size() > max_changes)
        changes_.pop_front();
}


std::optional<std::vector<platform::change>>
host_log::after(std::uint64_t sequence) const
{
    if (sequence > sequence_ || sequence_ - sequence > changes_.size())
        return std::nullopt;
    const auto first =
        changes_.end() - static_cast<std::ptrdiff_t>(sequence_ - sequence);
    return std::vector<platform::change>(first, changes_.end());
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
    return json::serialize(json::object{
        {"source", a.position_.source_},
        {"sequence", a.position_.sequence_},
        {"complete", a.complete_},
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
        a.complete_ = o.at("complete").as_bool();
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

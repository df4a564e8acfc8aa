#include <monsoondock/settings/settings_head.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace monsoondock::settings {

namespace {

namespace json = boost::json;


/// Maps each path to its revision, or to null for a removed node. The whole
/// value is null when the entry does not list its changes.
json::value changes_json(const head_entry& entry)
{
    if (!entry.changes_)
        return nullptr;
    json::object changes;
    for (const node_change& change : *entry.changes_)
        changes[change.path_.value_] =
            change.at_ ? json::value(change.at_->value_) : json::value(nullptr);
    return changes;
}


json::array history_json(const std::vector<head_entry>& history)
{
    json::array list;
    for (const head_entry& entry : history)
        list.push_back(json::object{
            {"revision", entry.revision_.value_},
            {"token", entry.token_},
            {"author", entry.author_},
            {"note", entry.note_},
            {"changes", changes_json(entry)}});
    return list;
}


// The functions below let exceptions of Boost.JSON through; parse_head_json
// turns them into a finding.

revision read_revision(const json::value& value)
{
    return {value.to_number<std::uint64_t>()};
}


std::string read_text(const json::object& object, std::string_view key)
{
    return std::string(object.at(key).as_string());
}


std::optional<std::vector<node_change>> read_changes(const json::value& value)
{
    if (value.is_null())
        return std::nullopt;
    std::vector<node_change> changes;
    for (const auto& item : value.as_object()) {
        node_change change{{std::string(item.key())}, {}};
        if (!item.value().is_null())
            change.at_ = read_revision(item.value());
        changes.push_back(std::move(change));
    }
    return changes;
}


head_entry read_entry(const json::value& value)
{
    const json::object& object = value.as_object();
    return {
        read_revision(object.at("revision")),
        read_text(object, "token"),
        read_text(object, "author"),
        read_text(object, "note"),
        read_changes(object.at("changes"))};
}


settings_head read_head(const json::value& value)
{
    const json::object& object = value.as_object();
    settings_head head;
    head.revision_ = read_revision(object.at("revision"));
    head.before_history_ = read_revision(object.at("before_history"));
    for (const json::value& entry : object.at("history").as_array())
        head.history_.push_back(read_entry(entry));
    return head;
}

} // namespace

std::string to_json(const settings_head& head)
{
    json::object object;
    object["revision"] = head.revision_.value_;
    object["before_history"] = head.before_history_.value_;
    object["history"] = history_json(head.history_);
    return json::serialize(object);
}


checked<settings_head> parse_head_json(std::string_view text)
{
    try {
        return read_head(json::parse({text.data(), text.size()}));
    } catch (const std::exception& error) {
        return findings{
            {{},
             0,
             std::string(HEAD_KEY),
             error.what(),
             "a head object as monsoondockctl writes it"}};
    }
}


bool history_contains(const settings_head& head, const std::string& token)
{
    return std::any_of(
        head.history_.begin(),
        head.history_.end(),
        [&](const head_entry& entry) { return entry.token_ == token; });
}

} // namespace monsoondock::settings

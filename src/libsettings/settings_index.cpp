#include <monsoondock/settings/node_codec.hpp>
#include <monsoondock/settings/settings_index.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace monsoondock::settings {

namespace {

namespace json = boost::json;

constexpr std::string_view INDEX_PREFIX = "settings/index@";


/// Applies the changes of one history entry. Returns false when the entry does
/// not list them.
bool apply_entry(settings_index& index, const head_entry& entry)
{
    if (!entry.changes_)
        return false;
    for (const node_change& change : *entry.changes_) {
        if (change.at_)
            index.nodes_[change.path_] = *change.at_;
        else
            index.nodes_.erase(change.path_);
    }
    index.revision_ = entry.revision_;
    return true;
}


settings_index read_index(const json::value& value)
{
    const json::object& object = value.as_object();
    settings_index index;
    index.revision_.value_ = object.at("revision").to_number<std::uint64_t>();
    for (const auto& item : object.at("nodes").as_object())
        index.nodes_.emplace(
            node_path{std::string(item.key())},
            revision{item.value().to_number<std::uint64_t>()});
    return index;
}

} // namespace

settings_index index_of(const settings_tree& tree)
{
    settings_index index{tree.revision_, {}};
    for (const auto& [path, node] : tree.nodes_)
        index.nodes_.emplace(path, node.revision_);
    return index;
}


std::optional<settings_index>
advance_index(const settings_index& from, const settings_head& head)
{
    auto entry = std::find_if(
        head.history_.begin(), head.history_.end(), [&](const head_entry& e) {
            return e.revision_ == from.revision_;
        });
    if (entry == head.history_.end())
        return std::nullopt;
    settings_index index = from;
    while (++entry != head.history_.end()) {
        if (!apply_entry(index, *entry))
            return std::nullopt;
    }
    return index;
}


std::vector<std::string>
superseded_keys(const settings_index& older, const settings_index& newer)
{
    std::vector<std::string> keys;
    for (const auto& [path, at] : older.nodes_) {
        const auto now = newer.nodes_.find(path);
        if (now == newer.nodes_.end() || now->second != at)
            keys.push_back(node_object_key(path, at));
    }
    keys.push_back(index_object_key(older.revision_));
    return keys;
}


std::string to_json(const settings_index& index)
{
    json::object nodes;
    for (const auto& [path, at] : index.nodes_)
        nodes[path.value_] = at.value_;
    json::object object;
    object["revision"] = index.revision_.value_;
    object["nodes"] = std::move(nodes);
    return json::serialize(object);
}


checked<settings_index> parse_index_json(std::string_view text)
{
    try {
        return read_index(json::parse({text.data(), text.size()}));
    } catch (const std::exception& error) {
        return findings{
            {{},
             0,
             "settings/index",
             error.what(),
             "an index object as monsoondockctl writes it"}};
    }
}


std::string index_object_key(revision at)
{
    return std::string(INDEX_PREFIX) + std::to_string(at.value_);
}


bool is_index_key(std::string_view key)
{
    return key.starts_with(INDEX_PREFIX);
}

} // namespace monsoondock::settings

#include <monsoondock/settings/node_codec.hpp>
#include <monsoondock/settings/settings_bundle.hpp>

#include <boost/json.hpp>

namespace monsoondock::settings {

namespace json = boost::json;

namespace {

checked<settings_bundle> read_bundle(const json::value& value)
{
    const json::object& object = value.as_object();
    settings_bundle bundle;
    auto head = parse_head_json(json::serialize(object.at("head")));
    if (auto* faults = std::get_if<findings>(&head))
        return std::move(*faults);
    bundle.head_ = std::get<settings_head>(std::move(head));
    for (const json::value& item : object.at("nodes").as_array()) {
        auto node = parse_node_json(json::serialize(item));
        if (auto* faults = std::get_if<findings>(&node))
            return std::move(*faults);
        bundle.nodes_.push_back(std::get<settings_node>(std::move(node)));
    }
    return bundle;
}

} // namespace

std::string to_json(const settings_bundle& bundle)
{
    std::string text = "{\"head\":" + to_json(bundle.head_) + ",\"nodes\":[";
    const char* separator = "";
    for (const settings_node& node : bundle.nodes_) {
        text += separator + to_json(node);
        separator = ",";
    }
    return text + "]}";
}


checked<settings_bundle> parse_bundle_json(std::string_view text)
{
    try {
        return read_bundle(json::parse({text.data(), text.size()}));
    } catch (const std::exception& error) {
        return findings{
            {{},
             0,
             {},
             error.what(),
             "a settings bundle as a daemon sends it"}};
    }
}

} // namespace monsoondock::settings

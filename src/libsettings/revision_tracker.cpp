#include <monsoondock/settings/node_codec.hpp>
#include <monsoondock/settings/revision_tracker.hpp>
#include <monsoondock/settings/validate.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::settings {

revision_tracker::revision_tracker(tracker_options options) : options_(options)
{}


std::vector<std::string>
revision_tracker::on_head(const settings_head& head, platform::version version)
{
    if (!is_new(head)) {
        ++counts_.refused_;
        return {};
    }
    pending_ = pending_revision{head, version, advance_index(index_, head)};
    try_apply();
    return missing_keys();
}


void revision_tracker::on_bundle(const settings_bundle& bundle)
{
    if (!is_new(bundle.head_)) {
        ++counts_.refused_;
        return;
    }
    pending_ = pending_revision{bundle.head_, {}, settings_index{}};
    pending_->index_->revision_ = bundle.head_.revision_;
    for (const settings_node& node : bundle.nodes_)
        pending_->index_->nodes_[node.path_] = node.revision_;
    for (const settings_node& node : bundle.nodes_)
        store_node(node);
    try_apply();
}


void revision_tracker::on_object(const platform::object& object)
{
    if (pending_ && object.version_ > pending_->version_)
        on_missing(object.key_);
    else if (is_index_key(object.key_))
        on_index(object.value_);
    else
        on_node(object.value_);
}


void revision_tracker::on_missing(std::string_view key)
{
    const auto keys = missing_keys();
    if (std::find(keys.begin(), keys.end(), key) != keys.end())
        pending_.reset();
}


void revision_tracker::on_index(std::string_view text)
{
    if (!pending_ || pending_->index_)
        return;
    checked<settings_index> parsed = parse_index_json(text);
    if (auto* faults = std::get_if<findings>(&parsed)) {
        reject(std::move(*faults));
        return;
    }
    auto& index = std::get<settings_index>(parsed);
    // This is the index of a head that a newer one has replaced.
    if (index.revision_ != pending_->head_.revision_)
        return;
    pending_->index_ = std::move(index);
    try_apply();
}


void revision_tracker::on_node(std::string_view text)
{
    checked<settings_node> parsed = parse_node_json(text);
    if (auto* faults = std::get_if<findings>(&parsed)) {
        if (pending_)
            reject(std::move(*faults));
        return;
    }
    store_node(std::get<settings_node>(std::move(parsed)));
    try_apply();
}


std::vector<std::string> revision_tracker::missing_keys() const
{
    std::vector<std::string> keys;
    if (!pending_)
        return keys;
    if (!pending_->index_)
        return {index_object_key(pending_->head_.revision_)};
    for (const auto& [path, at] : pending_->index_->nodes_) {
        const auto found = fetched_.find(path);
        if (found == fetched_.end() || found->second.revision_ != at)
            keys.push_back(node_object_key(path, at));
    }
    return keys;
}


revision revision_tracker::in_force_revision() const
{
    return in_force_ ? in_force_->revision_ : revision{};
}


revision revision_tracker::latest() const
{
    return pending_ ? pending_->head_.revision_ : in_force_revision();
}


std::optional<settings_bundle> revision_tracker::bundle() const
{
    if (!in_force_)
        return std::nullopt;
    settings_bundle result{head_, {}};
    result.nodes_.reserve(in_force_->nodes_.size());
    for (const auto& [path, node] : in_force_->nodes_)
        result.nodes_.push_back(node);
    return result;
}


bool revision_tracker::is_new(const settings_head& head) const
{
    if (!options_.refuse_older_)
        return head.revision_ != latest();
    return head.revision_ > latest();
}


/// Drops nodes that the pending head does not refer to, to save memory.
void revision_tracker::store_node(settings_node node)
{
    if (!pending_ || !pending_->index_)
        return;
    const auto named = pending_->index_->nodes_.find(node.path_);
    if (named == pending_->index_->nodes_.end() ||
        named->second != node.revision_)
        return;
    fetched_.insert_or_assign(node.path_, std::move(node));
}


void revision_tracker::reject(findings faults)
{
    faults_ = std::move(faults);
    ++counts_.invalid_;
    pending_.reset();
}


void revision_tracker::try_apply()
{
    if (!pending_ || !missing_keys().empty())
        return;
    auto tree = std::make_shared<settings_tree>();
    tree->revision_ = pending_->head_.revision_;
    for (const auto& [path, at] : pending_->index_->nodes_)
        tree->nodes_.emplace(path, fetched_.at(path));
    findings faults = validate(*tree);
    if (!faults.empty()) {
        reject(std::move(faults));
        return;
    }
    head_ = std::move(pending_->head_);
    index_ = std::move(*pending_->index_);
    pending_.reset();
    fetched_ = tree->nodes_;
    in_force_ = std::move(tree);
    faults_.clear();
    ++counts_.applied_;
}

} // namespace monsoondock::settings

#include "acceptance_run.hpp"

#include <monsoondock/settings/node_codec.hpp>

namespace monsoondock::settings::pvt {

namespace {

constexpr std::size_t MAX_OBJECT_BYTES = std::size_t{1000} * 1000;


settings_tree current_tree(const acceptance_run& run)
{
    settings_tree tree;
    tree.revision_ = run.current_.head_.revision_;
    for (const auto& [path, at] : run.current_.head_.nodes_)
        tree.nodes_.emplace(path, run.nodes_.at(path));
    return tree;
}


void make_candidate(
    acceptance_run& run,
    settings_tree tree,
    const std::vector<tree_change>& changes)
{
    const revision next{run.current_.head_.revision_.value_ + 1};
    for (const tree_change& change : changes) {
        const auto node = tree.nodes_.find(change.path_);
        if (node != tree.nodes_.end())
            node->second.revision_ = next;
    }
    run.candidate_ = {};
    run.candidate_.revision_ = next;
    run.unwritten_.clear();
    for (const auto& [path, node] : tree.nodes_) {
        run.candidate_.nodes_[path] = node.revision_;
        if (node.revision_ == next)
            run.unwritten_[node_object_key(path, next)] = to_json(node);
    }
    run.candidate_.history_ = run.current_.head_.history_;
    run.candidate_.history_.push_back(
        {next, run.edit_.token_, run.edit_.author_, run.edit_.note_});
    if (run.candidate_.history_.size() > HEAD_HISTORY_LIMIT)
        run.candidate_.history_.erase(run.candidate_.history_.begin());
}


findings oversized_objects(const acceptance_run& run)
{
    findings faults;
    const auto check = [&](const std::string& key, const std::string& text) {
        if (text.size() > MAX_OBJECT_BYTES)
            faults.push_back(
                {{},
                 0,
                 key,
                 "takes " + std::to_string(text.size()) + " bytes",
                 "at most " + std::to_string(MAX_OBJECT_BYTES) + " bytes"});
    };
    check(std::string(HEAD_KEY), to_json(run.candidate_));
    for (const auto& [key, text] : run.unwritten_)
        check(key, text);
    return faults;
}

} // namespace

void ask(acceptance_run& run, store_call call)
{
    run.open_.insert_or_assign(key_of(call), call);
    run.calls_.push_back(std::move(call));
}


checked<head_state> read_head(const std::optional<platform::object>& object)
{
    if (!object)
        return head_state{};
    checked<settings_head> head = parse_head_json(object->value_);
    if (auto* faults = std::get_if<findings>(&head))
        return std::move(*faults);
    return head_state{
        object->version_, std::get<settings_head>(std::move(head))};
}


std::vector<std::string> missing_nodes(const acceptance_run& run)
{
    std::vector<std::string> keys;
    for (const auto& [path, at] : run.current_.head_.nodes_) {
        const auto known = run.nodes_.find(path);
        if (known == run.nodes_.end() || known->second.revision_ != at)
            keys.push_back(node_object_key(path, at));
    }
    return keys;
}


void decide(acceptance_run& run)
{
    const settings_tree before = current_tree(run);
    apply_outcome applied = apply_changes(before, run.edit_.changes_);
    if (auto* faults = std::get_if<findings>(&applied)) {
        run.outcome_ = invalid_edit{std::move(*faults)};
        return;
    }
    using conflict_list = std::vector<change_conflict>;
    if (auto* conflicts = std::get_if<conflict_list>(&applied)) {
        run.outcome_ = edit_conflict{before.revision_, std::move(*conflicts)};
        return;
    }
    auto& after = std::get<settings_tree>(applied);
    const std::vector<tree_change> changes = diff(before, after);
    if (changes.empty()) {
        run.outcome_ = unchanged{before.revision_};
        return;
    }
    make_candidate(run, std::move(after), changes);
    findings oversized = oversized_objects(run);
    if (!oversized.empty())
        run.outcome_ = invalid_edit{std::move(oversized)};
}


void raise_candidate(acceptance_run& run)
{
    const revision old = run.candidate_.revision_;
    const revision next{old.value_ + 1};
    std::map<std::string, std::string> objects;
    for (auto& [path, at] : run.candidate_.nodes_) {
        if (at == old)
            at = next;
    }
    settings_tree tree = std::get<settings_tree>(
        apply_changes(current_tree(run), run.edit_.changes_));
    for (const auto& [path, at] : run.candidate_.nodes_) {
        if (at != next)
            continue;
        settings_node& node = tree.nodes_.at(path);
        node.revision_ = next;
        objects[node_object_key(path, next)] = to_json(node);
    }
    run.candidate_.revision_ = next;
    run.candidate_.history_.back().revision_ = next;
    run.unwritten_ = std::move(objects);
    run.open_.clear();
}


store_call head_write(const acceptance_run& run)
{
    platform::write_condition condition = platform::if_absent{};
    if (run.current_.version_)
        condition = platform::if_version{*run.current_.version_};
    return {
        write_object{std::string(HEAD_KEY), to_json(run.candidate_), condition},
        {}};
}

} // namespace monsoondock::settings::pvt

#include "acceptance_run.hpp"

#include <monsoondock/settings/node_codec.hpp>

namespace monsoondock::settings::pvt {

namespace {

constexpr std::size_t MAX_OBJECT_BYTES = std::size_t{1000} * 1000;


settings_tree current_tree(const acceptance_run& run)
{
    settings_tree tree;
    tree.revision_ = run.current_.head_.revision_;
    for (const auto& [path, at] : run.index_.nodes_)
        tree.nodes_.emplace(path, run.nodes_.at(path));
    return tree;
}


/// Sets the revision of the candidate and encodes its objects.
void set_revision(acceptance_run& run, revision next)
{
    settings_tree& tree = run.candidate_tree_;
    const revision old = tree.revision_;
    tree.revision_ = next;
    run.unwritten_.clear();
    for (auto& [path, node] : tree.nodes_) {
        if (node.revision_ != old)
            continue;
        node.revision_ = next;
        run.unwritten_[node_object_key(path, next)] = to_json(node);
    }
    run.unwritten_[index_object_key(next)] = to_json(index_of(tree));
}


std::vector<node_change>
changed_nodes(const settings_index& before, const settings_index& after)
{
    std::vector<node_change> changes;
    for (const auto& [path, at] : after.nodes_) {
        if (at == after.revision_)
            changes.push_back({path, at});
    }
    for (const auto& [path, at] : before.nodes_) {
        if (!after.nodes_.contains(path))
            changes.push_back({path, std::nullopt});
    }
    return changes;
}


void make_head(acceptance_run& run)
{
    const settings_edit& edit = run.edit_;
    run.candidate_ = run.current_.head_;
    run.candidate_.revision_ = run.candidate_tree_.revision_;
    head_entry entry{
        run.candidate_.revision_,
        edit.token_,
        edit.author_,
        edit.note_,
        changed_nodes(run.index_, index_of(run.candidate_tree_))};
    if (entry.changes_->size() > MAX_ENTRY_CHANGES)
        entry.changes_.reset();
    auto& history = run.candidate_.history_;
    history.push_back(std::move(entry));
    if (history.size() <= run.options_.max_history_)
        return;
    run.candidate_.before_history_ = history.front().revision_;
    history.erase(history.begin());
}


void make_candidate(
    acceptance_run& run,
    settings_tree tree,
    const std::vector<tree_change>& changes)
{
    // Accepted nodes never have revision 0, so it marks the changed nodes here.
    tree.revision_ = {};
    for (const tree_change& change : changes) {
        const auto node = tree.nodes_.find(change.path_);
        if (node != tree.nodes_.end())
            node->second.revision_ = {};
    }
    run.candidate_tree_ = std::move(tree);
    set_revision(run, {run.current_.head_.revision_.value_ + 1});
    make_head(run);
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
    if (run.edit_.author_.size() + run.edit_.note_.size() >
        MAX_ENTRY_TEXT_BYTES)
        faults.push_back(
            {{},
             0,
             "note",
             "is too long",
             "author and note of " + std::to_string(MAX_ENTRY_TEXT_BYTES) +
                 " bytes together"});
    check(std::string(HEAD_KEY), to_json(run.candidate_));
    for (const auto& [key, text] : run.unwritten_)
        check(key, text);
    return faults;
}

} // namespace

void request_call(acceptance_run& run, store_call call)
{
    run.pending_calls_.insert_or_assign(key_of(call), call);
    run.new_calls_.push_back(std::move(call));
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
    for (const auto& [path, at] : run.index_.nodes_) {
        const auto known = run.nodes_.find(path);
        if (known == run.nodes_.end() || known->second.revision_ != at)
            keys.push_back(node_object_key(path, at));
    }
    return keys;
}


void apply_edit(acceptance_run& run)
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


void increment_candidate_revision(acceptance_run& run)
{
    set_revision(run, {run.candidate_tree_.revision_.value_ + 1});
    make_head(run);
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

#include "simulation_test.hpp"

#include <monsoondock/settings/node_codec.hpp>
#include <monsoondock/settings/tree_file.hpp>

#include <algorithm>

namespace monsoondock::settings::exploration {

namespace {

constexpr std::size_t OPERATORS = 3;
constexpr std::size_t DAEMONS = 3;
const base::time_point NEVER = base::time_point::max();

const char* const PATHS[] = {
    "org", "org/west", "org/west/one", "org/deployments/llm", "org/south"};
const char* const KEYS[] = {
    "deployment.spares", "deployment.min_groups", "limits.max_answer_tokens"};


settings_tree first_tree()
{
    return std::get<settings_tree>(parse_tree(
        R"(["org"]
["org/west"]
["org/west/one"]
["org/deployments/llm"]
deployment.kind = "model"
deployment.idempotent = true
)",
        "first"));
}

} // namespace

simulation::simulation(std::uint64_t seed, explored_options options)
    : options_(options), random_(seed)
{
    operators_.resize(OPERATORS);
    for (std::size_t i = 0; i < DAEMONS; ++i)
        daemons_.push_back(
            {revision_tracker(options.tracker_), {}, {}, {}, {}, {}});
    for (daemon_state& d : daemons_)
        d.start_.deadline_ = NEVER;
}


std::optional<std::string> simulation::run(int steps)
{
    for (int i = 0; i < steps && !failure_; ++i)
        step();
    if (!failure_)
        run_to_completion();
    if (!failure_)
        check_reported_outcomes();
    return failure_;
}


std::uint64_t simulation::random_below(std::uint64_t count)
{
    return random_() % count;
}


bool simulation::chance(std::uint64_t percent)
{
    return random_below(100) < percent;
}


void simulation::step()
{
    if (chance(store_down_ ? 10 : 2))
        store_down_ = !store_down_;
    if (!late_writes_.empty() && chance(20)) {
        const std::size_t i = random_below(late_writes_.size());
        const write_object late = late_writes_[i];
        late_writes_.erase(late_writes_.begin() + static_cast<long>(i));
        execute(late);
    }
    operator_state& op = operators_[random_below(OPERATORS)];
    if (!op.acceptance_)
        start_edit(op);
    else if (chance(1))
        op.acceptance_.reset();
    else
        make_call(op);
    const std::size_t index = random_below(DAEMONS);
    daemon_state& d = daemons_[index];
    if (chance(2)) {
        restart(index);
        return;
    }
    poll(d);
    deliver(d);
    fetch(d);
}


/// Starts an edit of the newest tree or of an older one, as an operator with a
/// stale view does.
void simulation::start_edit(operator_state& op)
{
    settings_tree before;
    if (!accepted_trees_.empty()) {
        auto it = accepted_trees_.end();
        const std::uint64_t back = 1 + random_below(2);
        for (std::uint64_t i = 0; i < back; ++i) {
            if (it != accepted_trees_.begin())
                --it;
        }
        before = it->second;
    }
    settings_tree after = before.nodes_.empty() ? first_tree() : before;
    const node_path path{PATHS[random_below(std::size(PATHS))]};
    const bool removes = path.value_ == "org/south" && chance(50);
    if (removes) {
        after.nodes_.erase(path);
    } else {
        if (!after.nodes_.contains(path))
            after.nodes_[path] = {path, parse_path(path)->level_, {}, {}};
        const std::string value = std::to_string(1 + random_below(60));
        set_value(after, path, KEYS[random_below(std::size(KEYS))], value);
    }
    op.edit_ = {diff(before, after), "op", "", std::to_string(++edit_count_)};
    edits_[op.edit_.token_] = op.edit_.changes_;
    op.acceptance_.emplace(op.edit_, options_.acceptance_);
    const auto calls = op.acceptance_->start();
    op.calls_ = {calls.begin(), calls.end()};
}


void simulation::make_call(operator_state& op)
{
    if (op.calls_.empty()) {
        fail("an acceptance has no call to wait for");
        return;
    }
    const std::size_t i = random_below(op.calls_.size());
    const store_call call = op.calls_[i];
    op.calls_.erase(op.calls_.begin() + static_cast<long>(i));
    if (const auto* w = std::get_if<write_object>(&call.what_)) {
        answer(op, write_finished{w->key_, write(*w, inject_faults_)});
        return;
    }
    const std::string& key = key_of(call);
    if (store_down_ || (inject_faults_ && chance(5)))
        answer(op, read_failed{key});
    else
        answer(op, object_read{key, store_.get(key)});
}


void simulation::answer(operator_state& op, const store_answer& a)
{
    for (store_call& call : op.acceptance_->on_answer(a))
        op.calls_.push_back(std::move(call));
    if (!op.acceptance_->outcome())
        return;
    record_outcome(op);
    op.acceptance_.reset();
    op.calls_.clear();
}


platform::write_outcome simulation::write(const write_object& w, bool lossy)
{
    if (store_down_)
        return platform::not_reached{"down"};
    if (lossy && chance(10)) {
        // The answer is lost; the write takes effect now, later or never.
        const std::uint64_t effect = random_below(3);
        if (effect == 0)
            execute(w);
        if (effect == 1)
            late_writes_.push_back(w);
        return platform::answer_lost{"lost"};
    }
    const auto outcome = store_.put(w.key_, w.value_, w.condition_);
    if (std::holds_alternative<platform::written>(outcome))
        check_accepted_head(*store_.get(w.key_));
    return outcome;
}


void simulation::execute(const write_object& w)
{
    const auto outcome = store_.put(w.key_, w.value_, w.condition_);
    if (std::holds_alternative<platform::written>(outcome))
        check_accepted_head(*store_.get(w.key_));
}


/// Checks an accepted head against the previous one.
void simulation::check_accepted_head(const platform::object& object)
{
    if (object.key_ != HEAD_KEY)
        return;
    const auto head = std::get<settings_head>(parse_head_json(object.value_));
    settings_tree tree;
    tree.revision_ = head.revision_;
    const auto index = read_index(head.revision_);
    if (!index) {
        fail("a head has no index object");
        return;
    }
    for (const auto& [path, at] : index->nodes_) {
        const auto node = store_.get(node_object_key(path, at));
        if (!node) {
            fail("an index names a node object that does not exist");
            return;
        }
        tree.nodes_[path] =
            std::get<settings_node>(parse_node_json(node->value_));
    }
    settings_tree before;
    if (!accepted_trees_.empty())
        before = accepted_trees_.rbegin()->second;
    if (head.revision_ <= before.revision_)
        fail("the head's revision did not increase");
    const std::string& token = head.history_.back().token_;
    const auto& expected = edits_[token];
    for (const tree_change& applied : diff(before, tree)) {
        if (std::find(expected.begin(), expected.end(), applied) ==
            expected.end())
            fail("an acceptance reverted another: " + to_string(applied));
    }
    for (const tree_change& change : expected) {
        const auto reapplied = apply_changes(tree, {change});
        const auto* same = std::get_if<settings_tree>(&reapplied);
        if (same == nullptr || !diff(tree, *same).empty())
            fail("an acceptance omitted: " + to_string(change));
    }
    accepted_trees_[head.revision_] = tree;
    accepted_tokens_[token] = head.revision_;
}


void simulation::record_outcome(const operator_state& op)
{
    const acceptance_outcome& outcome = *op.acceptance_->outcome();
    if (const auto* yes = std::get_if<accepted>(&outcome)) {
        reported_accepted_.push_back({yes->revision_, op.edit_.token_});
        delete_superseded();
    } else if (!std::holds_alternative<acceptance_unknown>(outcome))
        reported_not_accepted_.push_back(op.edit_.token_);
}


/// Deletes the objects superseded by the oldest entry of the history.
/// Sometimes the operator's process ends before it is done.
void simulation::delete_superseded()
{
    const auto head_object = store_.get(HEAD_KEY);
    if (!head_object)
        return;
    const auto head =
        std::get<settings_head>(parse_head_json(head_object->value_));
    if (head.before_history_ == revision{})
        return;
    const auto older = read_index(head.before_history_);
    const auto newer = read_index(head.history_.front().revision_);
    if (!older || !newer)
        return;
    for (const std::string& key : superseded_keys(*older, *newer)) {
        if (chance(5))
            return;
        if (const auto object = store_.get(key))
            store_.erase(key, object->version_);
    }
}


std::optional<settings_index> simulation::read_index(revision at) const
{
    const auto object = store_.get(index_object_key(at));
    if (!object)
        return std::nullopt;
    return std::get<settings_index>(parse_index_json(object->value_));
}


/// Heads come from the watch in order; bundles from peers are delayed and
/// reordered.
void simulation::poll(daemon_state& d)
{
    if (!store_down_ && chance(40)) {
        if (const auto object = store_.get(HEAD_KEY)) {
            d.store_heads_.push_back(*object);
            d.start_.store_answered_ = true;
        }
    }
    if (!chance(30))
        return;
    const auto bundle = daemons_[random_below(DAEMONS)].tracker_.bundle();
    if (bundle)
        d.peer_bundles_.push_back(*bundle);
}


void simulation::deliver(daemon_state& d)
{
    if (!d.store_heads_.empty() && chance(50)) {
        const platform::object& object = d.store_heads_.front();
        const auto head =
            std::get<settings_head>(parse_head_json(object.value_));
        for (std::string& key : d.tracker_.on_head(head, object.version_))
            d.fetches_.push_back(std::move(key));
        d.store_heads_.pop_front();
    }
    if (!d.peer_bundles_.empty() && chance(30)) {
        const std::size_t i = random_below(d.peer_bundles_.size());
        d.tracker_.on_bundle(d.peer_bundles_[i]);
        // Some bundles are delivered twice.
        if (chance(80))
            d.peer_bundles_.erase(
                d.peer_bundles_.begin() + static_cast<long>(i));
    }
    check(d);
}


void simulation::fetch(daemon_state& d)
{
    if (d.fetches_.empty()) {
        for (std::string& key : d.tracker_.missing_keys())
            d.fetches_.push_back(std::move(key));
    }
    while (!d.fetches_.empty() && !store_down_ && chance(80)) {
        const std::size_t i = random_below(d.fetches_.size());
        const std::string key = d.fetches_[i];
        d.fetches_.erase(d.fetches_.begin() + static_cast<long>(i));
        const auto object = store_.get(key);
        if (inject_faults_ && chance(10))
            continue;
        if (object)
            d.tracker_.on_object(*object);
        else
            d.tracker_.on_missing(key);
        check(d);
    }
}


/// The new process has no state. It asks all peers, which answer immediately
/// here, and must not serve a revision below their highest.
void simulation::restart(std::size_t index)
{
    daemon_state& d = daemons_[index];
    d = {revision_tracker(options_.tracker_), {}, {}, {}, {}, {}};
    d.start_.deadline_ = NEVER;
    revision highest;
    for (std::size_t i = 0; i < DAEMONS; ++i) {
        if (i != index)
            d.start_.asked_.insert({std::to_string(i)});
    }
    for (std::size_t i = 0; i < DAEMONS; ++i) {
        if (i == index)
            continue;
        if (const auto bundle = daemons_[i].tracker_.bundle()) {
            d.tracker_.on_bundle(*bundle);
            highest = std::max(highest, bundle->head_.revision_);
        }
        on_peer_answer(d.start_, {std::to_string(i)});
    }
    const bool serves = may_serve(d.start_, d.tracker_, {});
    if (serves && d.tracker_.in_force_revision() < highest)
        fail("a restarted daemon serves below its peers");
}


void simulation::check(daemon_state& d)
{
    const revision now = d.tracker_.in_force_revision();
    if (now < d.highest_in_force_)
        fail("an older revision came into force");
    if (now == d.highest_in_force_)
        return;
    d.highest_in_force_ = now;
    const auto accepted_tree = accepted_trees_.find(now);
    if (accepted_tree == accepted_trees_.end())
        fail("a revision is in force that was not accepted");
    else if (!diff(accepted_tree->second, *d.tracker_.in_force()).empty())
        fail("the tree in force differs from the accepted one");
}


void simulation::run_to_completion()
{
    store_down_ = false;
    inject_faults_ = false;
    for (const write_object& late : late_writes_)
        execute(late);
    late_writes_.clear();
    for (operator_state& op : operators_) {
        for (int i = 0; op.acceptance_ && i < 1000; ++i)
            make_call(op);
        if (op.acceptance_)
            fail("an acceptance does not end");
    }
    const auto object = store_.get(HEAD_KEY);
    if (!object)
        return;
    const auto head = std::get<settings_head>(parse_head_json(object->value_));
    // A daemon that starts now must find all objects in the store.
    daemons_.push_back(
        {revision_tracker(options_.tracker_), {}, {}, {}, {}, {}});
    for (daemon_state& d : daemons_) {
        d.tracker_.on_head(head, object->version_);
        while (!d.tracker_.missing_keys().empty()) {
            const std::string key = d.tracker_.missing_keys().front();
            const auto expected = store_.get(key);
            if (!expected) {
                fail("an object in use does not exist: " + key);
                return;
            }
            d.tracker_.on_object(*expected);
        }
        check(d);
        if (d.tracker_.in_force_revision() != head.revision_)
            fail("a daemon does not have the latest revision in force");
    }
}


void simulation::check_reported_outcomes()
{
    for (const accepted_edit& edit : reported_accepted_) {
        const auto found = accepted_tokens_.find(edit.token_);
        if (found == accepted_tokens_.end())
            fail("an edit reported as accepted was lost");
        else if (found->second != edit.revision_)
            fail("an edit was accepted as another revision than reported");
    }
    for (const std::string& token : reported_not_accepted_) {
        if (accepted_tokens_.contains(token))
            fail("an edit reported as not accepted was accepted");
    }
}


void simulation::fail(const std::string& what)
{
    if (!failure_)
        failure_ = what;
}

} // namespace monsoondock::settings::exploration

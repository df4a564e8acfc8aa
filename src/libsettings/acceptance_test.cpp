#include <monsoondock/platform/memory_store.hpp>
#include <monsoondock/settings/acceptance.hpp>
#include <monsoondock/settings/cold_start.hpp>
#include <monsoondock/settings/node_codec.hpp>
#include <monsoondock/settings/tree_file.hpp>

#include <criterion/criterion.h>

#include <chrono>
#include <deque>

using namespace monsoondock::settings;
using namespace monsoondock;
using namespace std::chrono_literals;

namespace {

settings_tree tree_with(const std::string& more)
{
    return std::get<settings_tree>(parse_tree("[\"org\"]\n" + more, "t"));
}


settings_edit
edit_of(const settings_tree& from, const settings_tree& to, const char* token)
{
    return {diff(from, to), "me", "", token};
}


store_answer call_store(platform::memory_store& store, const store_call& call)
{
    const std::string& key = key_of(call);
    if (const auto* w = std::get_if<write_object>(&call.what_))
        return write_finished{key, store.put(key, w->value_, w->condition_)};
    return object_read{key, store.get(key)};
}


acceptance_outcome finish(
    platform::memory_store& store,
    acceptance& a,
    const std::vector<store_call>& first)
{
    std::deque<store_call> calls{first.begin(), first.end()};
    while (!a.outcome()) {
        cr_assert(!calls.empty());
        const store_call call = calls.front();
        calls.pop_front();
        for (store_call& next : a.on_answer(call_store(store, call)))
            calls.push_back(std::move(next));
    }
    return *a.outcome();
}


acceptance_outcome
accept(platform::memory_store& store, const settings_edit& edit)
{
    acceptance a(edit);
    return finish(store, a, a.start());
}


settings_head head_of(const platform::memory_store& store)
{
    return std::get<settings_head>(
        parse_head_json(store.get(HEAD_KEY)->value_));
}


settings_index index_in(const platform::memory_store& store)
{
    const std::string key = index_object_key(head_of(store).revision_);
    return std::get<settings_index>(parse_index_json(store.get(key)->value_));
}


const settings_tree BASE =
    tree_with("[\"org/west\"]\n[\"org/deployments/d\"]\n"
              "deployment.kind = \"service\"\ndeployment.idempotent = false\n");


platform::memory_store store_with_base()
{
    platform::memory_store store;
    accept(store, edit_of({}, BASE, "base"));
    return store;
}


settings_tree changed(const char* path, const char* key, const char* value)
{
    settings_tree tree = BASE;
    cr_assert(!set_value(tree, {path}, key, value));
    return tree;
}


/// Passes the head and all missing objects to the tracker.
void fetch_all(revision_tracker& tracker, const platform::memory_store& store)
{
    tracker.on_head(head_of(store), store.current());
    while (!tracker.missing_keys().empty()) {
        const std::string key = tracker.missing_keys().front();
        tracker.on_object(*store.get(key));
    }
}


/// Adds a history entry that changes one node.
void add_change(settings_head& head, const node_path& path)
{
    ++head.revision_.value_;
    const std::vector<node_change> changes{{path, head.revision_}};
    head.history_.push_back({head.revision_, "x", "", "", changes});
}

} // namespace


Test(acceptance, writes_nodes_before_the_head)
{
    const auto store = store_with_base();
    const settings_head head = head_of(store);
    cr_assert(head.revision_.value_ == 1);
    cr_assert(index_in(store).nodes_.size() == 3);
    cr_assert(store.get("settings/nodes/org/west@1").has_value());
    cr_assert(
        store.get(HEAD_KEY)->version_ >
        store.get("settings/nodes/org@1")->version_);
}


Test(acceptance, a_racing_edit_of_another_key_is_rebased)
{
    auto store = store_with_base();
    acceptance slow(
        edit_of(BASE, changed("org", "deployment.spares", "5"), "slow"));
    const auto calls = slow.start();
    std::vector<store_call> next = slow.on_answer(call_store(store, calls[0]));
    accept(
        store,
        edit_of(BASE, changed("org/west", "deployment.spares", "6"), "fast"));
    const auto outcome = finish(store, slow, next);
    cr_assert(std::get<accepted>(outcome).revision_.value_ == 3);
    cr_assert(index_in(store).nodes_.at({"org/west"}).value_ == 2);
}


Test(acceptance, conflicting_invalid_and_unchanged_edits_end_with_their_reason)
{
    auto store = store_with_base();
    const auto five =
        edit_of(BASE, changed("org", "deployment.spares", "5"), "a");
    accept(store, five);
    const auto six =
        edit_of(BASE, changed("org", "deployment.spares", "6"), "b");
    cr_assert(std::holds_alternative<edit_conflict>(accept(store, six)));
    cr_assert(std::holds_alternative<unchanged>(accept(store, five)));
    settings_tree without_kind = BASE;
    without_kind.nodes_[{"org/deployments/d"}]
        .values_.deployment_.kind_.reset();
    cr_assert(std::holds_alternative<invalid_edit>(
        accept(store, edit_of(BASE, without_kind, "c"))));
    cr_assert(head_of(store).revision_.value_ == 2);
}


Test(acceptance, an_edit_that_only_removes_a_node_is_accepted)
{
    auto store = store_with_base();
    settings_tree smaller = BASE;
    smaller.nodes_.erase(node_path{"org/west"});
    cr_assert(std::holds_alternative<accepted>(
        accept(store, edit_of(BASE, smaller, "smaller"))));
    cr_assert(index_in(store).nodes_.size() == 2);
}


Test(acceptance, a_leftover_node_object_increments_the_revision)
{
    auto store = store_with_base();
    store.put("settings/nodes/org@2", "{}", platform::if_absent{});
    const auto outcome = accept(
        store, edit_of(BASE, changed("org", "deployment.spares", "5"), "a"));
    cr_assert(std::get<accepted>(outcome).revision_.value_ == 3);
}


Test(acceptance, an_outage_ends_as_not_accepted_only_before_the_head_write)
{
    auto store = store_with_base();
    acceptance before(
        edit_of(BASE, changed("org", "deployment.spares", "5"), "a"));
    auto calls = before.start();
    std::chrono::milliseconds waited{};
    while (!before.outcome()) {
        calls = before.on_answer(read_failed{key_of(calls.at(0))});
        if (!calls.empty())
            waited += calls[0].delay_;
    }
    cr_assert(std::holds_alternative<not_accepted>(*before.outcome()));
    cr_assert(waited > 1s);
    acceptance after(
        edit_of(BASE, changed("org", "deployment.spares", "5"), "b"));
    calls = after.start();
    while (!after.outcome()) {
        const std::string key = key_of(calls.at(0));
        const auto* w = std::get_if<write_object>(&calls[0].what_);
        if (w != nullptr && key == HEAD_KEY)
            break;
        std::vector<store_call> next;
        for (const store_call& call : calls) {
            for (auto& c : after.on_answer(call_store(store, call)))
                next.push_back(std::move(c));
        }
        calls = next;
    }
    const std::string head_key(HEAD_KEY);
    calls =
        after.on_answer(write_finished{head_key, platform::answer_lost{"x"}});
    while (!after.outcome())
        calls = after.on_answer(read_failed{head_key});
    cr_assert(std::holds_alternative<acceptance_unknown>(*after.outcome()));
}


Test(revision_tracker, an_invalid_node_leaves_the_old_revision_in_force)
{
    auto store = store_with_base();
    revision_tracker tracker;
    settings_head head = head_of(store);
    fetch_all(tracker, store);
    cr_assert(tracker.in_force_revision().value_ == 1);
    add_change(head, {"org"});
    cr_assert(
        tracker.on_head(head, store.current()) ==
        std::vector<std::string>{"settings/nodes/org@2"});
    tracker.on_object(
        {"settings/nodes/org@2",
         {},
         R"({"path":"org","revision":2,"values":{"new":{"x":1}}})"});
    cr_assert(tracker.in_force_revision().value_ == 1);
    cr_assert(tracker.faults().size() == 1);
    cr_assert(tracker.on_head(head_of(store), store.current()).empty());
    cr_assert(tracker.counts().refused_ == 1);
}


Test(revision_tracker, a_listed_change_needs_one_read_and_no_index)
{
    auto store = store_with_base();
    revision_tracker tracker;
    cr_assert(
        tracker.on_head(head_of(store), store.current()) ==
        std::vector<std::string>{"settings/index@1"});
    fetch_all(tracker, store);
    accept(store, edit_of(BASE, changed("org", "deployment.spares", "5"), "a"));
    cr_assert(
        tracker.on_head(head_of(store), store.current()) ==
        std::vector<std::string>{"settings/nodes/org@2"});
}


Test(revision_tracker, a_head_that_does_not_list_all_changes_needs_the_index)
{
    auto store = store_with_base();
    revision_tracker tracker;
    fetch_all(tracker, store);
    settings_tree before = BASE;
    for (std::size_t i = 0; i < HEAD_HISTORY_LIMIT + 1; ++i) {
        settings_tree after = before;
        const std::string value = std::to_string(i + 2);
        cr_assert(!set_value(after, {"org"}, "deployment.spares", value));
        accept(store, edit_of(before, after, value.c_str()));
        before = after;
    }
    const auto last = head_of(store);
    cr_assert(last.history_.size() == HEAD_HISTORY_LIMIT);
    cr_assert(
        tracker.on_head(last, store.current())[0] ==
        index_object_key(last.revision_));
    fetch_all(tracker, store);
    cr_assert(diff(*tracker.in_force(), before).empty());
    settings_tree many = before;
    for (std::size_t i = 0; i <= MAX_ENTRY_CHANGES; ++i) {
        const node_path path{"org/r" + std::to_string(i)};
        many.nodes_[path] = {path, level::region, {}, {}};
    }
    accept(store, edit_of(before, many, "many"));
    cr_assert(
        is_index_key(tracker.on_head(head_of(store), store.current())[0]));
    fetch_all(tracker, store);
    cr_assert(diff(*tracker.in_force(), many).empty());
}


Test(revision_tracker, an_object_written_after_its_head_counts_as_missing)
{
    auto store = store_with_base();
    revision_tracker tracker;
    const platform::version at = store.get(HEAD_KEY)->version_;
    const settings_head head = head_of(store);
    const std::string key = tracker.on_head(head, at)[0];
    platform::object late = *store.get(key);
    late.version_.value_ = at.value_ + 1;
    tracker.on_object(late);
    cr_assert(tracker.missing_keys().empty());
    cr_assert(tracker.in_force() == nullptr);
    cr_assert(tracker.counts().invalid_ == 0);
    cr_assert(tracker.on_head(head, at)[0] == key);
}


Test(revision_tracker, a_bundle_round_trips_through_json)
{
    auto store = store_with_base();
    revision_tracker tracker;
    cr_assert(!tracker.bundle().has_value());
    fetch_all(tracker, store);
    auto bundle = parse_bundle_json(to_json(*tracker.bundle()));
    revision_tracker other;
    other.on_bundle(std::get<settings_bundle>(bundle));
    cr_assert(diff(*other.in_force(), BASE).empty());
    cr_assert(std::holds_alternative<findings>(parse_bundle_json("{}")));
    cr_assert(std::holds_alternative<findings>(parse_head_json("{\"nodes\":")));
}


Test(cold_start, serves_when_the_store_or_all_peers_answered)
{
    auto store = store_with_base();
    revision_tracker tracker;
    cold_start start;
    start.asked_ = {{"a"}, {"b"}};
    start.deadline_ = base::time_point(5s);
    const base::time_point now(1s);
    cr_assert(!may_serve(start, tracker, base::time_point(9s)));
    fetch_all(tracker, store);
    cr_assert(!may_serve(start, tracker, base::time_point(9s)));
    on_peer_answer(start, {"a"});
    cr_assert(!may_serve(start, tracker, now));
    cr_assert(may_serve(start, tracker, base::time_point(5s)));
    on_peer_answer(start, {"b"});
    cr_assert(may_serve(start, tracker, now));
    settings_head newer = head_of(store);
    add_change(newer, {"org"});
    tracker.on_head(newer, store.current());
    cr_assert(!may_serve(start, tracker, now));
}

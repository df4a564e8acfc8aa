// Measures the cost of the settings in a daemon at several tree sizes: bytes
// read, processor time per accepted change, and heap.

#include <monsoondock/platform/memory_store.hpp>
#include <monsoondock/settings/acceptance.hpp>
#include <monsoondock/settings/effective.hpp>
#include <monsoondock/settings/node_codec.hpp>
#include <monsoondock/settings/revision_tracker.hpp>
#include <monsoondock/settings/validate.hpp>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <deque>
#include <malloc.h>

namespace {

using namespace monsoondock;
using namespace monsoondock::settings;

constexpr int REGIONS = 5;
constexpr int DATA_CENTRES = 15;
constexpr int DEPLOYMENTS = 20;
constexpr int HOST_GROUPS = 5;
constexpr int CHANGES = 40;


void add(settings_tree& tree, const std::string& path)
{
    const node_path id{path};
    tree.nodes_[id] = {id, parse_path(id)->level_, {}, {}};
}


void add_deployment(settings_tree& tree, int number)
{
    const std::string path = "org/deployments/model-" + std::to_string(number);
    add(tree, path);
    auto& values = tree.nodes_[{path}].values_.deployment_;
    values.kind_ = deployment_kind::model;
    values.idempotent_ = true;
    values.hosts_per_group_ = 16;
    for (int i = 0; i < HOST_GROUPS; ++i) {
        const std::string below = path + "/data-centre-" + std::to_string(i);
        add(tree, below);
        tree.nodes_[{below}].values_.deployment_.min_groups_ = 2;
    }
}


void add_workspace(settings_tree& tree, int number)
{
    const std::string path =
        "org/workspaces/workspace-" + std::to_string(number);
    add(tree, path);
    auto& values = tree.nodes_[{path}].values_.workspace_;
    values.api_key_hashes_ = {hash_api_key(path)};
    values.request_rate_ = 20;
    values.token_rate_ = 8000;
}


settings_tree make_tree(int workspaces)
{
    settings_tree tree;
    add(tree, "org");
    for (int i = 0; i < REGIONS; ++i)
        add(tree, "org/region-" + std::to_string(i));
    for (int i = 0; i < DATA_CENTRES; ++i)
        add(tree,
            "org/region-" + std::to_string(i % REGIONS) + "/data-centre-" +
                std::to_string(i));
    for (int i = 0; i < DEPLOYMENTS; ++i)
        add_deployment(tree, i);
    for (int i = 0; i < workspaces; ++i)
        add_workspace(tree, i);
    return tree;
}


void accept(
    platform::memory_store& store,
    const settings_tree& before,
    const settings_tree& after,
    int number)
{
    acceptance a(
        {diff(before, after), "operator", "note", std::to_string(number)});
    const auto first = a.start();
    std::deque<store_call> calls{first.begin(), first.end()};
    while (!a.outcome()) {
        const store_call call = calls.front();
        calls.pop_front();
        const std::string& key = key_of(call);
        store_answer answer = object_read{key, store.get(key)};
        if (const auto* w = std::get_if<write_object>(&call.what_))
            answer =
                write_finished{key, store.put(key, w->value_, w->condition_)};
        for (store_call& next : a.on_answer(answer))
            calls.push_back(std::move(next));
    }
}


/// Fetches the head and all missing objects; returns the bytes read.
std::size_t
fetch_all(revision_tracker& tracker, const platform::memory_store& store)
{
    const platform::object head = *store.get(HEAD_KEY);
    std::size_t bytes = head.value_.size();
    tracker.on_head(
        std::get<settings_head>(parse_head_json(head.value_)), head.version_);
    for (;;) {
        const auto keys = tracker.missing_keys();
        if (keys.empty())
            return bytes;
        for (const std::string& key : keys) {
            const platform::object object = *store.get(key);
            bytes += object.value_.size();
            tracker.on_object(object);
        }
    }
}


double processor_ms()
{
    return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}


double allocated_mb()
{
    return static_cast<double>(mallinfo2().uordblks) / 1e6;
}


void set_spares(settings_tree& tree, std::uint64_t value)
{
    tree.nodes_[{"org"}].values_.deployment_.spares_ = value;
}


void measure(int workspaces)
{
    platform::memory_store store;
    settings_tree tree = make_tree(workspaces);
    accept(store, {}, tree, 0);
    const double heap_before = allocated_mb();
    revision_tracker tracker;
    const std::size_t cold_bytes = fetch_all(tracker, store);
    const double heap = allocated_mb() - heap_before;
    double time = 0;
    std::size_t bytes = 0;
    for (int i = 1; i <= CHANGES; ++i) {
        settings_tree next = tree;
        set_spares(next, static_cast<std::uint64_t>(i));
        accept(store, tree, next, i);
        tree = std::move(next);
        const double start = processor_ms();
        bytes = fetch_all(tracker, store);
        time += processor_ms() - start;
    }
    const double start = processor_ms();
    validate(*tracker.in_force());
    const double validation = processor_ms() - start;
    const auto index = store.get(index_object_key(tracker.latest()));
    std::printf(
        "%6zu %12zu %12zu %12zu %12.2f %12.2f %10.2f\n",
        tree.nodes_.size(),
        cold_bytes,
        index->value_.size(),
        bytes,
        time / CHANGES,
        validation,
        heap);
}

} // namespace

int main()
{
    std::printf(
        "%6s %12s %12s %12s %12s %12s %10s\n",
        "nodes",
        "cold_bytes",
        "index_bytes",
        "change_bytes",
        "change_ms",
        "validate_ms",
        "heap_mb");
    for (const int workspaces : {100, 1000, 4000})
        measure(workspaces);
}

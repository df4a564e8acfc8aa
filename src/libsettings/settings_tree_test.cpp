#include <monsoondock/settings/effective.hpp>
#include <monsoondock/settings/formatted_value.hpp>
#include <monsoondock/settings/node_codec.hpp>
#include <monsoondock/settings/setting_description.hpp>
#include <monsoondock/settings/tree_change.hpp>
#include <monsoondock/settings/tree_file.hpp>

#include <criterion/criterion.h>

#include <chrono>

using namespace monsoondock::settings;
using namespace monsoondock;
using namespace std::chrono_literals;

namespace {

const std::string HASH(64, 'a');

const std::string TREE = R"(["org"]
deployment.spares = 2
interactive.max_wait = "3s"

["org/west"]
deployment.spares = 3

["org/west/one"]
deployment.spares = 4

["org/west/two"]

["org/deployments/llm"]
deployment.kind = "model"
deployment.idempotent = true
deployment.hosts_per_group = 4

["org/deployments/llm/one"]
deployment.min_groups = 5

["org/workspaces/big"]
workspace.api_key_hashes = [")" +
                         HASH + R"("]
workspace.request_rate = 50
interactive.max_wait = "1s"
)";


settings_tree tree_of(const std::string& text)
{
    auto parsed = parse_tree(text, "t.toml");
    if (auto* faults = std::get_if<findings>(&parsed))
        cr_assert(faults->empty(), "%s", to_string((*faults)[0]).c_str());
    return std::get<settings_tree>(std::move(parsed));
}


std::string first_fault(const std::string& text)
{
    auto parsed = parse_tree(text, "t.toml");
    cr_assert(std::holds_alternative<findings>(parsed));
    return to_string(std::get<findings>(parsed)[0]);
}


std::string tree_text_with(const std::string& from, const std::string& to)
{
    std::string text = TREE;
    text.replace(text.find(from), from.size(), to);
    return text;
}


effective_values effective_at(const settings_tree& tree, const place& where)
{
    return base::value(effective(tree, where));
}

} // namespace


Test(settings_tree, each_value_names_its_level_and_node)
{
    const settings_tree tree = tree_of(TREE);
    const auto v = effective_at(
        tree,
        {base::data_centre_id{"one"},
         base::deployment_id{"llm"},
         base::workspace_id{"big"},
         {}});
    cr_assert(v.deployment_.spares_.value_ == 4);
    cr_assert(v.deployment_.spares_.path_.value_ == "org/west/one");
    cr_assert(v.deployment_.hosts_per_group_.level_ == level::deployment);
    cr_assert(v.deployment_.min_groups_.level_ == level::host_groups);
    cr_assert(v.deployment_.max_groups_.level_ == level::built_in);
    cr_assert(v.interactive_.max_wait_.value_ == 1s);
    cr_assert(v.interactive_.max_wait_.level_ == level::workspace);
    cr_assert(v.workspace_.request_rate_.value_ == 50.0);
}


Test(settings_tree, a_level_inherits_what_it_does_not_override)
{
    const settings_tree tree = tree_of(TREE);
    const auto v =
        effective_at(tree, {base::data_centre_id{"two"}, {}, {}, {}});
    cr_assert(v.deployment_.spares_.path_.value_ == "org/west");
    cr_assert(v.interactive_.max_wait_.path_.value_ == "org");
    cr_assert(
        !base::ok(effective(tree, {base::data_centre_id{"x"}, {}, {}, {}})));
}


Test(settings_tree, faults_name_file_line_and_key)
{
    cr_assert(
        first_fault(tree_text_with("min_groups = 5", "min_groups = 70")) ==
        "t.toml:19: org/deployments/llm/one:deployment.min_groups: 70 is above "
        "max_groups 64; allowed: at most max_groups");
    cr_assert(
        first_fault(tree_text_with("spares = 3", "spares = -1"))
            .rfind(
                "t.toml:6: org/west:deployment.spares: -1 is out of range",
                0) == 0);
    cr_assert(
        first_fault(tree_text_with("max_wait = \"1s\"", "max_wait = \"5min\""))
            .rfind("t.toml:24: org/workspaces/big:interactive.max_wait", 0) ==
        0);
}


Test(settings_tree, the_whole_tree_is_checked)
{
    const std::string bad[] = {
        tree_text_with("[\"org/west\"]", "[\"org/east\"]"),
        tree_text_with("llm/one", "llm/three"),
        tree_text_with("deployment.kind = \"model\"\n", ""),
        tree_text_with("deployment.idempotent = true\n", ""),
        tree_text_with("workspace.request_rate = 50", "deployment.spares = 1"),
        tree_text_with("min_groups = 5", "kind = \"service\""),
        tree_text_with("\"model\"", "\"service\""),
        tree_text_with("request_rate = 50", "colour = 50"),
        tree_text_with("workspace.request_rate", "colour.request_rate"),
        tree_text_with("[\"org/west/two\"]", "[\"other\"]"),
        tree_text_with("[\"org/west/two\"]", "[\"org/East\"]"),
        tree_text_with("[\"org/west/two\"]", "[\"org/west/one/x\"]"),
        tree_text_with(
            "spares = 2",
            "weight_group_downtime = 0\n"
            "deployment.weight_stranded_accelerators = 0"),
        TREE + "[\"org/north\"]\n[\"org/north/one\"]\n",
        TREE + "[\"org/workspaces/none\"]\n",
        TREE + "[\"org/workspaces/copy\"]\nworkspace.api_key_hashes = [\"" +
            HASH + "\"]\n",
        tree_text_with(HASH, "secret-key"),
        TREE + "[\"org\"]\n",
        ""};
    for (const std::string& text : bad)
        cr_assert(
            std::holds_alternative<findings>(parse_tree(text, "t.toml")),
            "%s",
            text.c_str());
}


Test(settings_tree, a_tree_round_trips_through_toml_and_json)
{
    const settings_tree tree = tree_of(TREE);
    cr_assert(diff(tree, tree_of(to_toml(tree))).empty());
    settings_tree copy;
    for (const auto& [path, node] : tree.nodes_) {
        auto read = parse_node_json(to_json(node));
        cr_assert(std::holds_alternative<settings_node>(read));
        copy.nodes_.emplace(path, std::get<settings_node>(read));
    }
    cr_assert(diff(tree, copy).empty());
    const char* bad[] = {
        "",
        "[]",
        R"({"path":"org","revision":1})",
        R"({"path":"org","revision":-1,"values":{}})",
        R"({"path":"org","revision":1,"values":{"deployment":{"x":1}}})",
        R"({"path":"org","revision":1,"values":{"deployment":{"spares":null}}})"};
    for (const char* text : bad)
        cr_assert(std::holds_alternative<findings>(parse_node_json(text)));
}


Test(settings_tree, changes_apply_to_a_tree_changed_elsewhere)
{
    const settings_tree base = tree_of(TREE);
    const settings_tree mine =
        tree_of(tree_text_with("spares = 3", "spares = 7"));
    const settings_tree theirs = tree_of(
        tree_text_with("request_rate = 50", "request_rate = 60") +
        "[\"org/west/three\"]\n");
    const auto merged = apply_changes(theirs, diff(base, mine));
    cr_assert(std::holds_alternative<settings_tree>(merged));
    const auto differences = diff(base, std::get<settings_tree>(merged));
    cr_assert(differences.size() == 3);
    const auto again =
        apply_changes(std::get<settings_tree>(merged), diff(base, mine));
    cr_assert(std::holds_alternative<settings_tree>(again));
}


Test(settings_tree, overlapping_changes_are_conflicts)
{
    const settings_tree base = tree_of(TREE);
    const settings_tree mine =
        tree_of(tree_text_with("spares = 3", "spares = 7"));
    const settings_tree theirs =
        tree_of(tree_text_with("spares = 3", "spares = 8"));
    const auto merged = apply_changes(theirs, diff(base, mine));
    const auto& all = std::get<std::vector<change_conflict>>(merged);
    cr_assert(
        to_string(all[0]) == "org/west deployment.spares: 3 -> 7, but the "
                             "tree has 8");
    settings_tree without = base;
    without.nodes_.erase(node_path{"org/deployments/llm/one"});
    const settings_tree deeper =
        tree_of(tree_text_with("min_groups = 5", "min_groups = 6"));
    cr_assert(std::holds_alternative<std::vector<change_conflict>>(
        apply_changes(without, diff(base, deeper))));
    cr_assert(std::holds_alternative<std::vector<change_conflict>>(
        apply_changes(deeper, diff(base, without))));
}


Test(settings_tree, set_value_takes_strings_without_quotes)
{
    settings_tree tree = tree_of(TREE);
    const node_path root{"org"};
    cr_assert(!set_value(tree, root, "report.deadline", "2h"));
    cr_assert(!set_value(tree, root, "limits.max_body_bytes", "4096"));
    cr_assert(tree.nodes_[root].values_.report_.deadline_ == 2h);
    cr_assert(set_value(tree, root, "report.deadline", "2 h").has_value());
    cr_assert(set_value(tree, root, "report.x", "1").has_value());
    cr_assert(set_value(tree, {"org/x"}, "report.deadline", "2h").has_value());
}


Test(settings_tree, api_keys_are_hashed_with_sha_256)
{
    cr_assert(
        hash_api_key("abc").value_ ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}


Test(settings_tree, each_default_is_within_its_range)
{
    for (const auto& d : describe_settings()) {
        settings_tree tree;
        for (const level l : d.levels_) {
            settings_node node;
            node.level_ = l;
            tree.nodes_[{"x"}] = node;
            const auto fault = set_value(tree, {"x"}, d.key_, d.default_);
            cr_assert(!fault, "%s", d.key_.c_str());
        }
    }
}

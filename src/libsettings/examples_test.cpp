#include <monsoondock/settings/daemon_config.hpp>
#include <monsoondock/settings/effective.hpp>
#include <monsoondock/settings/setting_description.hpp>
#include <monsoondock/settings/tree_file.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>
#include <set>

using namespace monsoondock::settings;
using namespace monsoondock;

namespace {

const std::filesystem::path SOURCE = MONSOONDOCK_SOURCE_FOLDER;


settings_tree load_tree(const std::string& example)
{
    auto tree = load_tree_file(SOURCE / "examples" / example / "settings.toml");
    if (const auto* faults = std::get_if<findings>(&tree))
        cr_assert(faults->empty(), "%s", to_string((*faults)[0]).c_str());
    return std::get<settings_tree>(std::move(tree));
}


std::size_t count_of(const settings_tree& tree, level l)
{
    return static_cast<std::size_t>(std::count_if(
        tree.nodes_.begin(), tree.nodes_.end(), [&](const auto& item) {
            return item.second.level_ == l;
        }));
}


/// Checks that the configuration of each daemon loads, names a data centre of
/// the tree, and has a unique name and unique addresses.
void check_daemons(const std::string& example, const settings_tree& tree)
{
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (const auto& file : std::filesystem::directory_iterator(
             SOURCE / "examples" / example / "daemons")) {
        const auto loaded = load_daemon_config(file.path());
        cr_assert(
            std::holds_alternative<daemon_config>(loaded),
            "%s",
            file.path().c_str());
        const auto& c = std::get<daemon_config>(loaded);
        place where;
        where.data_centre_ = c.data_centre_;
        const auto nodes = nodes_of(tree, where);
        cr_assert(base::ok(nodes));
        cr_assert(
            base::value(nodes)[1]->path_.value_ ==
            example + "/" + c.region_.value_);
        names.insert(c.daemon_.value_);
        addresses.insert(to_string(c.caller_address_));
        addresses.insert(to_string(c.peer_address_));
    }
    cr_assert(names.size() == 8);
    cr_assert(addresses.size() == 16);
}


void check_example(const std::string& example)
{
    const settings_tree tree = load_tree(example);
    cr_assert(count_of(tree, level::data_centre) == 3);
    cr_assert(count_of(tree, level::deployment) == 2);
    cr_assert(count_of(tree, level::workspace) == 10);
    check_daemons(example, tree);
}


double downtime_weight_ratio(const std::string& example, const char* deployment)
{
    place where;
    where.deployment_ = base::deployment_id{deployment};
    const auto values = effective(load_tree(example), where);
    const auto& d = base::value(values).deployment_;
    return d.weight_group_downtime_.value_ /
           d.weight_stranded_accelerators_.value_;
}

} // namespace


Test(examples, both_configurations_load)
{
    check_example("resinas");
    check_example("sabarmati");
}


Test(examples, the_examples_weight_downtime_and_idle_accelerators_differently)
{
    cr_assert(downtime_weight_ratio("resinas", "copal-llm") > 1);
    cr_assert(downtime_weight_ratio("sabarmati", "yard-assist") < 1);
}


Test(examples, the_settings_page_matches_the_schema)
{
    std::ifstream in(SOURCE / "docs/settings.md");
    std::set<std::string> lines;
    for (std::string line; std::getline(in, line);)
        lines.insert(line);
    for (const auto& d : describe_settings()) {
        std::string levels;
        for (const level l : d.levels_)
            levels += (levels.empty() ? "" : ", ") + std::string(to_string(l));
        const std::string row = "| `" + d.key_ + "` | `" + d.default_ + "` | " +
                                d.allowed_ + " | " + levels + " | " +
                                d.meaning_ + " |";
        cr_assert(lines.contains(row), "missing: %s", row.c_str());
    }
}

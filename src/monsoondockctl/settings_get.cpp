#include "command.hpp"
#include "current_tree.hpp"
#include "failure.hpp"
#include "print.hpp"

#include <monsoondock/settings/node_codec.hpp>
#include <monsoondock/settings/tree_file.hpp>

#include <boost/json.hpp>

#include <iostream>

namespace monsoondockctl {

namespace json = boost::json;
namespace base = monsoondock::base;
namespace settings = monsoondock::settings;

namespace {

void print_tree(const settings::settings_tree& tree, output_format format)
{
    if (format == output_format::text) {
        std::cout << "# revision " << tree.revision_.value_ << "\n"
                  << to_toml(tree);
        return;
    }
    json::array nodes;
    for (const auto& [path, node] : tree.nodes_)
        nodes.push_back(json::parse(to_json(node)));
    print(
        json::object{
            {"revision", tree.revision_.value_}, {"nodes", std::move(nodes)}},
        format);
}

} // namespace

exit_code settings_get(const command_input& input)
{
    if (const auto missing = check_platform(input.options_))
        return fail(*missing);
    platform_session session(input.options_);
    auto tree = read_tree(session);
    if (!base::ok(tree))
        return fail(base::error(tree));
    if (input.arguments_.empty()) {
        print_tree(base::value(tree), input.options_.output_);
        return exit_code::ok;
    }
    const settings::node_path path{input.arguments_[0]};
    const auto* node = find_node(base::value(tree), path);
    if (node == nullptr)
        return fail(
            exit_code::failed,
            "no such node: " + path.value_,
            "see the paths with `settings get`");
    settings::settings_tree one;
    one.revision_ = node->revision_;
    one.nodes_.emplace(path, *node);
    print_tree(one, input.options_.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl

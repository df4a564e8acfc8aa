#include <monsoondock/settings/settings_tree.hpp>

namespace monsoondock::settings {

const settings_node* find_node(const settings_tree& tree, const node_path& path)
{
    const auto found = tree.nodes_.find(path);
    return found == tree.nodes_.end() ? nullptr : &found->second;
}

} // namespace monsoondock::settings

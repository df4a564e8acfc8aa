#include "assign.hpp"
#include "schema.hpp"

#include <monsoondock/settings/effective.hpp>
#include <monsoondock/settings/validate.hpp>

#include <map>
#include <set>

namespace monsoondock::settings {

namespace {

/// Collects faults, at most one for each key.
class fault_list
{
public:
    void
    add(const node_path& path,
        const std::string& key,
        std::string wrong,
        std::string allowed)
    {
        const std::string name =
            key.empty() ? path.value_ : path.value_ + ":" + key;
        if (seen_.insert(name).second)
            all_.push_back({{}, 0, name, std::move(wrong), std::move(allowed)});
    }


    findings take()
    {
        return std::move(all_);
    }

private:
    findings all_;
    std::set<std::string> seen_;
};


struct tree_index
{
    std::vector<base::data_centre_id> data_centres_;
    std::vector<base::deployment_id> deployments_;
    std::vector<base::workspace_id> workspaces_;
};


tree_index index_of(const settings_tree& tree)
{
    tree_index index;
    for (const auto& [path, node] : tree.nodes_) {
        const auto parts = parse_path(path);
        if (!parts)
            continue;
        if (parts->level_ == level::data_centre)
            index.data_centres_.push_back(parts->data_centre_);
        if (parts->level_ == level::deployment)
            index.deployments_.push_back(parts->deployment_);
        if (parts->level_ == level::workspace)
            index.workspaces_.push_back(parts->workspace_);
    }
    return index;
}


void check_path(
    const settings_tree& tree, const node_path& path, fault_list& faults)
{
    const auto parts = parse_path(path);
    if (!parts) {
        faults.add(
            path,
            "",
            "is not the path of a level",
            "organisation, organisation/region, organisation/region/"
            "data_centre, organisation/deployments/deployment, organisation/"
            "deployments/deployment/data_centre or organisation/workspaces/"
            "workspace, of names");
        return;
    }
    const std::string& root = tree.nodes_.begin()->first.value_;
    if (parts->organisation_ != root)
        faults.add(path, "", "belongs to another organisation", "only " + root);
    const auto parent = parent_path(path);
    if (parent && find_node(tree, *parent) == nullptr)
        faults.add(
            path,
            "",
            "has no parent node",
            "nodes with a parent; add " + parent->value_);
}


void check_data_centres(const settings_tree& tree, fault_list& faults)
{
    std::map<base::data_centre_id, node_path> known;
    for (const auto& [path, node] : tree.nodes_) {
        if (node.level_ != level::data_centre)
            continue;
        const auto id = parse_path(path)->data_centre_;
        const auto [first, inserted] = known.emplace(id, path);
        if (!inserted)
            faults.add(
                path,
                "",
                "has the same data centre name as " + first->second.value_,
                "each data centre name once in the tree");
    }
    for (const auto& [path, node] : tree.nodes_) {
        if (node.level_ != level::host_groups)
            continue;
        const auto id = parse_path(path)->data_centre_;
        if (!known.contains(id))
            faults.add(
                path,
                "",
                "names the unknown data centre " + id.value_,
                "a data centre of a region in this tree");
    }
}


void check_levels(const settings_node& node, fault_list& faults)
{
    own_values scratch;
    pvt::for_each_setting([&](const auto& s, auto access) {
        const auto& value = access(node.values_);
        if (!value)
            return;
        const auto refused =
            pvt::assign(scratch, node.level_, s.name(), pvt::to_raw(*value));
        if (refused)
            faults.add(
                node.path_, s.name(), refused->wrong_, refused->allowed_);
    });
}


void check_deployment_node(const settings_node& node, fault_list& faults)
{
    if (node.level_ != level::deployment)
        return;
    if (!node.values_.deployment_.kind_)
        faults.add(
            node.path_,
            "deployment.kind",
            "is missing",
            "\"model\" or \"service\" in each deployment");
    if (!node.values_.deployment_.idempotent_)
        faults.add(
            node.path_,
            "deployment.idempotent",
            "is missing",
            "true or false in each deployment");
}


void check_api_keys(const settings_tree& tree, fault_list& faults)
{
    std::map<api_key_hash, node_path> owners;
    for (const auto& [path, node] : tree.nodes_) {
        if (node.level_ != level::workspace)
            continue;
        const auto& hashes = node.values_.workspace_.api_key_hashes_;
        if (!hashes || hashes->empty()) {
            faults.add(
                path,
                "workspace.api_key_hashes",
                "is missing",
                "at least one hash in each workspace");
            continue;
        }
        for (const api_key_hash& hash : *hashes) {
            const auto [owner, inserted] = owners.emplace(hash, path);
            if (!inserted)
                faults.add(
                    path,
                    "workspace.api_key_hashes",
                    "has a hash that " + owner->second.value_ + " also has",
                    "each API key in one workspace");
        }
    }
}


/// Returns the node to name in a fault of two values: the one of the later
/// level, or root when both are built-in defaults.
template <class First, class Second>
node_path later_source(
    const sourced<First>& a, const sourced<Second>& b, const node_path& root)
{
    const node_path& path = a.level_ > b.level_ ? a.path_ : b.path_;
    return path.value_.empty() ? root : path;
}


void check_groups(
    const effective_values& v, const node_path& root, fault_list& faults)
{
    const auto& d = v.deployment_;
    if (d.min_groups_.value_ > d.max_groups_.value_)
        faults.add(
            later_source(d.min_groups_, d.max_groups_, root),
            "deployment.min_groups",
            std::to_string(d.min_groups_.value_) + " is above max_groups " +
                std::to_string(d.max_groups_.value_),
            "at most max_groups");
    if (d.kind_.value_ == deployment_kind::service &&
        d.hosts_per_group_.value_ != 1)
        faults.add(
            later_source(d.hosts_per_group_, d.kind_, root),
            "deployment.hosts_per_group",
            std::to_string(d.hosts_per_group_.value_) +
                " for a deployment of kind service",
            "1 for a service");
    if (d.weight_group_downtime_.value_ == 0 &&
        d.weight_stranded_accelerators_.value_ == 0)
        faults.add(
            later_source(
                d.weight_group_downtime_,
                d.weight_stranded_accelerators_,
                root),
            "deployment.weight_group_downtime",
            "and weight_stranded_accelerators are both 0",
            "at least one of the two above 0");
}


void check_class(
    const class_settings<sourced>& c,
    const std::string& section,
    const node_path& root,
    fault_list& faults)
{
    if (c.max_wait_.value_ <= c.deadline_.value_)
        return;
    faults.add(
        later_source(c.max_wait_, c.deadline_, root),
        section + ".max_wait",
        "is above " + section + ".deadline",
        "at most the deadline");
}


void check_place(
    const settings_tree& tree, const place& where, fault_list& faults)
{
    const auto values = effective(tree, where);
    if (!base::ok(values))
        return;
    const effective_values& v = base::value(values);
    const node_path& root = tree.nodes_.begin()->first;
    if (where.deployment_)
        check_groups(v, root, faults);
    check_class(v.interactive_, "interactive", root, faults);
    check_class(v.report_, "report", root, faults);
}


bool sets_class_values(const settings_tree& tree, const base::workspace_id& id)
{
    path_parts parts;
    parts.level_ = level::workspace;
    parts.organisation_ = tree.nodes_.begin()->first.value_;
    parts.workspace_ = id;
    const own_values& v = find_node(tree, make_path(parts))->values_;
    return v.interactive_.deadline_ || v.interactive_.max_wait_ ||
           v.report_.deadline_ || v.report_.max_wait_;
}


/// Workspaces that set no value of a priority class inherit those of the place,
/// so only workspaces that set one are checked at each place.
void check_places(const settings_tree& tree, fault_list& faults)
{
    const tree_index index = index_of(tree);
    std::vector<place> places{place{}};
    for (const auto& data_centre : index.data_centres_)
        places.push_back({data_centre, {}, {}, {}});
    for (const auto& deployment : index.deployments_) {
        places.push_back({{}, deployment, {}, {}});
        for (const auto& data_centre : index.data_centres_)
            places.push_back({data_centre, deployment, {}, {}});
    }
    for (const place& where : places)
        check_place(tree, where, faults);
    for (const auto& workspace : index.workspaces_) {
        if (!sets_class_values(tree, workspace))
            continue;
        for (place where : places) {
            where.workspace_ = workspace;
            check_place(tree, where, faults);
        }
    }
}

} // namespace

findings validate(const settings_tree& tree)
{
    fault_list faults;
    if (tree.nodes_.empty())
        return {{{}, 0, {}, "the tree is empty", "at least an organisation"}};
    for (const auto& [path, node] : tree.nodes_) {
        check_path(tree, path, faults);
        check_levels(node, faults);
        check_deployment_node(node, faults);
    }
    check_data_centres(tree, faults);
    check_api_keys(tree, faults);
    check_places(tree, faults);
    return faults.take();
}

} // namespace monsoondock::settings

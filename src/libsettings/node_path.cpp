#include "convert.hpp"

#include <monsoondock/settings/node_path.hpp>

#include <algorithm>
#include <vector>

namespace monsoondock::settings {

namespace {

const std::string DEPLOYMENTS = "deployments";
const std::string WORKSPACES = "workspaces";
constexpr std::size_t MAX_PARTS = 4;


std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts(1);
    for (const char c : text) {
        if (c == '/')
            parts.emplace_back();
        else
            parts.back() += c;
    }
    return parts;
}


std::optional<path_parts>
parse_deployment_path(path_parts found, const std::vector<std::string>& parts)
{
    if (parts.size() < 3)
        return std::nullopt;
    found.level_ = level::deployment;
    found.deployment_.value_ = parts[2];
    if (parts.size() == 4) {
        found.level_ = level::host_groups;
        found.data_centre_.value_ = parts[3];
    }
    return found;
}


std::optional<path_parts>
parse_workspace_path(path_parts found, const std::vector<std::string>& parts)
{
    if (parts.size() != 3)
        return std::nullopt;
    found.level_ = level::workspace;
    found.workspace_.value_ = parts[2];
    return found;
}


std::optional<path_parts>
parse_region_path(path_parts found, const std::vector<std::string>& parts)
{
    if (parts.size() > 3)
        return std::nullopt;
    if (parts.size() > 1) {
        found.level_ = level::region;
        found.region_.value_ = parts[1];
    }
    if (parts.size() > 2) {
        found.level_ = level::data_centre;
        found.data_centre_.value_ = parts[2];
    }
    return found;
}

} // namespace

std::optional<path_parts> parse_path(const node_path& path)
{
    const auto parts = split(path.value_);
    if (parts.size() > MAX_PARTS)
        return std::nullopt;
    if (!std::all_of(parts.begin(), parts.end(), pvt::is_name))
        return std::nullopt;
    path_parts found;
    found.organisation_ = parts[0];
    if (parts.size() > 1 && parts[1] == DEPLOYMENTS)
        return parse_deployment_path(std::move(found), parts);
    if (parts.size() > 1 && parts[1] == WORKSPACES)
        return parse_workspace_path(std::move(found), parts);
    return parse_region_path(std::move(found), parts);
}


std::optional<node_path> parent_path(const node_path& path)
{
    const std::size_t slash = path.value_.rfind('/');
    if (slash == std::string::npos)
        return std::nullopt;
    node_path parent{path.value_.substr(0, slash)};
    const auto parts = parse_path(path);
    const bool branch = parts && (parts->level_ == level::deployment ||
                                  parts->level_ == level::workspace);
    if (branch)
        parent.value_ = parts->organisation_;
    return parent;
}


node_path make_path(const path_parts& parts)
{
    const std::string root = parts.organisation_ + "/";
    switch (parts.level_) {
    case level::region:
        return {root + parts.region_.value_};
    case level::data_centre:
        return {root + parts.region_.value_ + "/" + parts.data_centre_.value_};
    case level::deployment:
        return {root + DEPLOYMENTS + "/" + parts.deployment_.value_};
    case level::host_groups:
        return {
            root + DEPLOYMENTS + "/" + parts.deployment_.value_ + "/" +
            parts.data_centre_.value_};
    case level::workspace:
        return {root + WORKSPACES + "/" + parts.workspace_.value_};
    case level::built_in:
    case level::organisation:
        break;
    }
    return {parts.organisation_};
}

} // namespace monsoondock::settings

#include <monsoondock/catalog/catalog.hpp>

#include <algorithm>
#include <cctype>

namespace monsoondock::catalog {

namespace {

std::string to_host_name(std::string_view header)
{
    const std::size_t colon = header.rfind(':');
    if (colon != std::string_view::npos &&
        header.find(']', colon) == std::string_view::npos)
        header = header.substr(0, colon);
    std::string name(header);
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return name;
}

} // namespace

void index_routes(catalog& c)
{
    c.by_host_name_.clear();
    for (std::size_t i = 0; i < c.routes_.size(); ++i)
        c.by_host_name_[c.routes_[i].host_name_].push_back(i);
    for (auto& [name, positions] : c.by_host_name_) {
        std::stable_sort(
            positions.begin(), positions.end(), [&](auto a, auto b) {
                return c.routes_[a].path_prefix_.size() >
                       c.routes_[b].path_prefix_.size();
            });
    }
}


const route* find_route(
    const catalog& c, std::string_view host_header, std::string_view target)
{
    const auto found = c.by_host_name_.find(to_host_name(host_header));
    if (found == c.by_host_name_.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const std::size_t i : found->second) {
        if (path.starts_with(c.routes_[i].path_prefix_))
            return &c.routes_[i];
    }
    return nullptr;
}


const key_holder* find_key(const catalog& c, std::string_view key)
{
    const auto found = c.keys_.find(std::string(key));
    return found == c.keys_.end() ? nullptr : &found->second;
}


const base::deployment_id*
choose_deployment(const route& r, double draw) noexcept
{
    double total = 0;
    for (const weighted_deployment& d : r.deployments_)
        total += d.weight_;
    double remaining = draw * total;
    const base::deployment_id* last = nullptr;
    for (const weighted_deployment& d : r.deployments_) {
        if (d.weight_ <= 0)
            continue;
        last = &d.deployment_;
        remaining -= d.weight_;
        if (remaining < 0)
            break;
    }
    return last;
}


const deployment*
find_deployment(const catalog& c, const base::deployment_id& id)
{
    const auto found = c.deployments_.find(id);
    return found == c.deployments_.end() ? nullptr : &found->second;
}

} // namespace monsoondock::catalog

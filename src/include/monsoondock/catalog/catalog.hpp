#pragma once

#include <monsoondock/catalog/caller_limits.hpp>
#include <monsoondock/catalog/deployment.hpp>
#include <monsoondock/catalog/key_holder.hpp>
#include <monsoondock/catalog/route.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoondock::catalog {

/// Routes, deployments, API keys and limits of one accepted configuration.
/// Immutable after index_routes, so that threads can share it.
struct catalog
{
    /// Version number set by operators; increases with each configuration.
    std::uint64_t version_ = 0;
    std::vector<route> routes_;
    std::unordered_map<base::deployment_id, deployment> deployments_;
    /// API key to the workspace that owns it.
    std::unordered_map<std::string, key_holder> keys_;
    /// False when no route requires an API key.
    bool keys_required_ = false;
    caller_limits limits_;
    /// Indexes into routes_ by host name, longest path prefix first. Filled by
    /// index_routes.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_name_;
};


/// Fills by_host_name_ from routes_.
void index_routes(catalog& c);


/// Returns the route for a request: among the routes of the host name in the
/// Host header, the one with the longest path prefix that matches the path of
/// the request target. The port of the header and the query of the target are
/// ignored. Returns null when no route matches.
const route* find_route(
    const catalog& c, std::string_view host_header, std::string_view target);


/// Returns the owner of an API key, or null when the key is unknown.
const key_holder* find_key(const catalog& c, std::string_view key);


/// Chooses one of the route's deployments with a probability in proportion to
/// its weight; draw is a random number in [0, 1). Returns null when no
/// deployment has a weight above 0.
const base::deployment_id*
choose_deployment(const route& r, double draw) noexcept;


/// Returns the deployment with this ID, or null when the catalog has none.
const deployment*
find_deployment(const catalog& c, const base::deployment_id& id);

} // namespace monsoondock::catalog

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

/// Routes, deployments, keys and limits of one accepted configuration. It is
/// immutable once indexed and shared between threads.
struct catalog
{
    /// Number that operators gave the configuration; a newer one is higher.
    std::uint64_t version_ = 0;
    std::vector<route> routes_;
    std::unordered_map<base::deployment_id, deployment> deployments_;
    std::unordered_map<std::string, key_holder> keys_;
    /// False when no route asks for a key.
    bool keys_required_ = false;
    caller_limits limits_;
    /// Positions in routes_ by host name, the longest prefix first. Filled by
    /// index_routes.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_name_;
};


/// Fills by_host_name_ from routes_.
void index_routes(catalog& c);


/// Returns the route with the longest prefix that begins the path of target,
/// among those of the host name in a Host header. Returns null when none fits.
const route* find_route(
    const catalog& c, std::string_view host_header, std::string_view target);


/// Returns the holder of a key, or null when nobody holds it.
const key_holder* find_key(const catalog& c, std::string_view key);


/// Returns one of the route's deployments; draw is a number from 0 up to, but
/// not including, 1. Returns null when the route has none with a weight.
const base::deployment_id*
choose_deployment(const route& r, double draw) noexcept;


/// Returns a deployment, or null when the catalog has none of that name.
const deployment*
find_deployment(const catalog& c, const base::deployment_id& id);

} // namespace monsoondock::catalog

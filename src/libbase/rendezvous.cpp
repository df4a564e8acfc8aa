#include <monsoondock/base/rendezvous.hpp>
#include <monsoondock/base/stable_hash.hpp>

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace monsoondock::base {

std::vector<std::size_t> rendezvous_order(
    std::string_view key,
    const std::vector<std::string>& nodes,
    std::size_t count)
{
    const std::uint64_t seed = stable_hash(key);
    std::vector<std::uint64_t> weights;
    weights.reserve(nodes.size());
    for (const std::string& node : nodes)
        weights.push_back(stable_hash(node, seed));
    std::vector<std::size_t> order(nodes.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const std::size_t returned = std::min(count, nodes.size());
    std::partial_sort(
        order.begin(),
        order.begin() + static_cast<std::ptrdiff_t>(returned),
        order.end(),
        [&](std::size_t a, std::size_t b) {
            if (weights[a] != weights[b])
                return weights[a] > weights[b];
            return nodes[a] < nodes[b];
        });
    order.resize(returned);
    return order;
}

} // namespace monsoondock::base

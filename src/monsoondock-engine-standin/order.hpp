#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::engine_standin {

/// Action that an order requests.
enum class order_kind
{
    load,
    unload
};


/// Command of the control plane to one host: load a model as a member of a
/// group, or unload it. An unload order carries only group and generation.
struct order
{
    order_kind kind_ = order_kind::load;
    std::string group_;
    std::uint64_t generation_ = 0;
    std::string deployment_;
    std::uint64_t rank_ = 0;
    std::vector<std::string> hosts_;
};


/// Parses an order from JSON; returns nullopt when it is malformed.
std::optional<order> parse_order(const std::string& json);

} // namespace monsoondock::engine_standin

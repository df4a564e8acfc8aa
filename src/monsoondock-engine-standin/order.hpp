#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::engine_standin {

/// What an order asks for.
enum class order_kind
{
    load,
    unload
};


/// Order of the control side to one host.
struct order
{
    order_kind kind_ = order_kind::load;
    std::string group_;
    std::uint64_t generation_ = 0;
    std::string deployment_;
    std::uint64_t rank_ = 0;
    std::vector<std::string> hosts_;
};


/// Reads an order from JSON; nothing when it is malformed.
std::optional<order> parse_order(const std::string& json);

} // namespace monsoondock::engine_standin

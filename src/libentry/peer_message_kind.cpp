#include "peer_message.hpp"

#include <array>
#include <type_traits>

namespace monsoondock::entry::pvt {

namespace {

// The byte order that the archive begins with comes before the type code.
constexpr std::size_t type_code_offset = 1;
// A forwarded message has the length of the inner one after its type code.
constexpr std::size_t inner_offset =
    type_code_offset + 1 + sizeof(std::uint32_t);


struct message_kind
{
    std::string_view name_;
    message_priority priority_;
};


// By type code.
constexpr std::array<message_kind, std::variant_size_v<peer_message>>
    message_kinds{{
        {"membership", message_priority::control},
        {"heartbeat", message_priority::control},
        {"upstream_suspected", message_priority::evidence},
        {"upstream_healthy", message_priority::evidence},
        {"load", message_priority::load},
        {"crash", message_priority::control},
        {"upstream_query", message_priority::evidence},
        {"demand", message_priority::load},
        {"host_unreachable", message_priority::control},
        {"host_leaving", message_priority::control},
        {"relist_hosts", message_priority::control},
        {"host_changes", message_priority::control},
        {"data_centre_load", message_priority::load},
        {"load_sum", message_priority::load},
        {"forwarded", message_priority::control},
        {"part_report", message_priority::control},
        {"host_limits", message_priority::control},
        {"host_query", message_priority::evidence},
        {"host_finding", message_priority::evidence},
        {"group_check", message_priority::load},
        {"evacuations", message_priority::control},
        {"host_pace", message_priority::load},
    }};
constexpr std::size_t forwarded_code = 14;
static_assert(std::is_same_v<
              std::variant_alternative_t<forwarded_code, peer_message>,
              forwarded_message>);


// Returns the type code of the message that begins at an offset, without
// decoding it.
std::optional<std::size_t>
type_code_at(std::string_view bytes, std::size_t offset)
{
    const std::size_t position = offset + type_code_offset;
    if (position >= bytes.size())
        return std::nullopt;
    const auto code = static_cast<unsigned char>(bytes[position]);
    if (code >= message_kinds.size())
        return std::nullopt;
    return code;
}

} // namespace

std::string_view kind_of(const peer_message& m)
{
    return message_kinds.at(m.index()).name_;
}


message_priority priority_of(std::string_view bytes)
{
    std::optional<std::size_t> code = type_code_at(bytes, 0);
    // A message is forwarded once.
    if (code == forwarded_code)
        code = type_code_at(bytes, inner_offset);
    return code ? message_kinds.at(*code).priority_
                : message_priority::evidence;
}

} // namespace monsoondock::entry::pvt

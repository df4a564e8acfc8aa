#include <monsoondock/relay/front_events.hpp>

namespace monsoondock::relay {

const char* to_string(doubt_reason reason) noexcept
{
    switch (reason) {
    case doubt_reason::silent:
        return "silent";
    case doubt_reason::unreachable:
        return "unreachable";
    case doubt_reason::group_failed:
        return "group_failed";
    }
    return "unknown";
}

} // namespace monsoondock::relay

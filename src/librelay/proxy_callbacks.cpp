#include <monsoondock/relay/proxy_callbacks.hpp>

namespace monsoondock::relay {

const char* to_string(unhealthy_reason reason) noexcept
{
    switch (reason) {
    case unhealthy_reason::silent:
        return "silent";
    case unhealthy_reason::unreachable:
        return "unreachable";
    case unhealthy_reason::group_failed:
        return "group_failed";
    }
    return "unknown";
}

} // namespace monsoondock::relay

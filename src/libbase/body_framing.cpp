#include <monsoondock/base/body_framing.hpp>

namespace monsoondock::base {

const char* to_string(body_framing framing) noexcept
{
    switch (framing) {
    case body_framing::none:
        return "none";
    case body_framing::length:
        return "length";
    case body_framing::chunked:
        return "chunked";
    case body_framing::connection_close:
        return "connection_close";
    }
    return "unknown";
}

} // namespace monsoondock::base

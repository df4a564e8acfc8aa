#include <monsoondock/wire/drop_reason.hpp>

namespace monsoondock::wire {

const char* to_string(drop_reason reason) noexcept
{
    switch (reason) {
    case drop_reason::truncated:
        return "truncated";
    case drop_reason::oversized:
        return "oversized";
    case drop_reason::version:
        return "version";
    case drop_reason::unknown_key:
        return "unknown_key";
    case drop_reason::forged:
        return "forged";
    case drop_reason::malformed:
        return "malformed";
    case drop_reason::replayed:
        return "replayed";
    }
    return "unknown";
}

} // namespace monsoondock::wire

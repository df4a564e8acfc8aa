#include <monsoondock/admission/refusal_reason.hpp>

namespace monsoondock::admission {

const char* to_string(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::too_late:
        return "too_late";
    case refusal_reason::over_share:
        return "over_share";
    case refusal_reason::queue_full:
        return "queue_full";
    }
    return "unknown";
}

} // namespace monsoondock::admission

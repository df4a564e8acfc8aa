#include <monsoondock/catalog/request_kind.hpp>

namespace monsoondock::catalog {

const char* to_string(request_kind kind) noexcept
{
    switch (kind) {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::at_most_once:
        return "at_most_once";
    case request_kind::resumable_stream:
        return "resumable_stream";
    case request_kind::at_most_once_stream:
        return "at_most_once_stream";
    }
    return "unknown";
}

} // namespace monsoondock::catalog

#include <monsoondock/placement/order.hpp>

namespace monsoondock::placement {

const char* to_string(order_kind kind) noexcept
{
    switch (kind) {
    case order_kind::join:
        return "join";
    case order_kind::open:
        return "open";
    case order_kind::close:
        return "close";
    case order_kind::leave:
        return "leave";
    case order_kind::stage:
        return "stage";
    }
    return "unknown";
}


const char* to_string(order_outcome outcome) noexcept
{
    switch (outcome) {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::refused:
        return "refused";
    case order_outcome::no_such_host:
        return "no_such_host";
    case order_outcome::unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace monsoondock::placement

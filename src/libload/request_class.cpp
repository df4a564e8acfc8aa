#include <monsoondock/load/request_class.hpp>

namespace monsoondock::load {

const char* to_string(request_class c) noexcept
{
    switch (c) {
    case request_class::interactive:
        return "interactive";
    case request_class::report:
        return "report";
    case request_class::call:
        break;
    }
    return "call";
}

} // namespace monsoondock::load

#include "caller_connection.hpp"

#include <monsoondock/base/reset_on_close.hpp>

namespace monsoondock::traffic::pvt {

void reset_on_close(caller_connection& caller, bool reset)
{
    base::reset_on_close(caller.stream_.socket(), reset);
    caller.resets_ = reset;
}

} // namespace monsoondock::traffic::pvt

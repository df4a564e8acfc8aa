#include "group_control.hpp"

namespace monsoondock::daemon {

boost::asio::awaitable<void> run_group_control(control_state& /*state*/)
{
    co_return;
}

} // namespace monsoondock::daemon

#include "settings_feed.hpp"

namespace monsoondock::daemon {

boost::asio::awaitable<void> run_settings_feed(control_state& /*state*/)
{
    co_return;
}

} // namespace monsoondock::daemon

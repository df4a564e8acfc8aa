#include "caller_connection.hpp"

namespace monsoondock::traffic::pvt {

void reset_on_close(caller_connection& caller, bool reset)
{
    boost::system::error_code ignored;
    caller.stream_.socket().set_option(
        boost::asio::socket_base::linger(reset, 0), ignored);
    caller.resets_ = reset;
}

} // namespace monsoondock::traffic::pvt

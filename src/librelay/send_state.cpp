#include "send_state.hpp"

// Not netinet/tcp.h, whose tcp_info lacks the acknowledged bytes.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace monsoondock::relay::pvt {

std::optional<send_state> read_send_state(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        size < offsetof(tcp_info, tcpi_min_rtt))
        return std::nullopt;
    send_state s;
    s.acknowledged_bytes_ = info.tcpi_bytes_acked;
    s.pending_ = info.tcpi_unacked > 0 || info.tcpi_notsent_bytes > 0;
    s.retransmitting_ = info.tcpi_unacked > 0 && info.tcpi_retransmits > 0;
    s.since_answer_ = std::chrono::milliseconds(info.tcpi_last_ack_recv);
    return s;
}

} // namespace monsoondock::relay::pvt

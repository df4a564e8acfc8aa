#include "send_monitor.hpp"

namespace monsoondock::relay::pvt {

send_finding check_sending(
    send_monitor& m,
    const send_state& s,
    std::chrono::milliseconds limit,
    base::time_point now)
{
    const bool gap = now - m.checked_at_ > max_check_gap;
    if (gap || !s.pending_ || s.acknowledged_bytes_ != m.acknowledged_bytes_)
        m.progress_at_ = now;
    m.acknowledged_bytes_ = s.acknowledged_bytes_;
    m.checked_at_ = now;
    const auto waited = now - m.progress_at_;
    if (s.retransmitting_ && s.since_answer_ >= max_answer_time &&
        waited >= max_answer_time)
        return send_finding::unreachable;
    return waited >= limit ? send_finding::stalled : send_finding::reads;
}


const char* to_string(send_finding finding) noexcept
{
    switch (finding) {
    case send_finding::reads:
        return "reads";
    case send_finding::stalled:
        return "stalled";
    case send_finding::unreachable:
        return "unreachable";
    }
    return "unknown";
}

} // namespace monsoondock::relay::pvt

#include <monsoondock/base/body_end.hpp>

namespace monsoondock::base {

end_verdict judge(const body_end& end) noexcept
{
    if (end.join_ != join_failure::none)
        return end_verdict::broken_off;
    if (end.has_closing_event_)
        return end_verdict::complete;
    if (!end.as_framed_ || end.inside_event_ || end.second_response_)
        return end_verdict::broken_off;
    if (end.framing_ != body_framing::connection_close)
        return end_verdict::complete;
    switch (end.host_) {
    case host_check::not_made:
        return end_verdict::unconfirmed;
    case host_check::accepts:
        return end_verdict::complete;
    case host_check::gone:
    case host_check::unknown:
        break;
    }
    return end_verdict::broken_off;
}


std::string_view reason_of(const body_end& end) noexcept
{
    if (end.join_ != join_failure::none)
        return to_string(end.join_);
    if (end.second_response_)
        return "second_response";
    if (end.inside_event_)
        return "broken_off";
    if (end.host_ == host_check::gone)
        return "host_gone";
    if (end.host_ == host_check::unknown)
        return "end_unconfirmed";
    return "connection_lost";
}

} // namespace monsoondock::base

#include <monsoondock/paths/host_check.hpp>

namespace monsoondock::paths {

void add_finding(host_check& check, peer_finding finding)
{
    ++check.answered_;
    check.reached_by_peer_ |= finding == peer_finding::reached;
    check.missed_by_peer_ |= finding == peer_finding::not_reached;
}


conclusion conclude(const host_check& check, bool time_is_over)
{
    if (check.reached_)
        return conclusion::reached;
    if (check.reached_by_peer_)
        return conclusion::link_cut;
    if (check.answered_ < check.asked_ && !time_is_over)
        return conclusion::pending;
    return check.missed_by_peer_ || check.reached_other_host_
               ? conclusion::host_failed
               : conclusion::unresolved;
}


const char* to_string(peer_finding finding) noexcept
{
    switch (finding) {
    case peer_finding::reached:
        return "reached";
    case peer_finding::not_reached:
        return "not_reached";
    case peer_finding::unknown:
        break;
    }
    return "unknown";
}


const char* to_string(conclusion c) noexcept
{
    switch (c) {
    case conclusion::reached:
        return "reached";
    case conclusion::pending:
        return "pending";
    case conclusion::link_cut:
        return "link_cut";
    case conclusion::host_failed:
        return "host_failed";
    case conclusion::unresolved:
        break;
    }
    return "unresolved";
}

} // namespace monsoondock::paths

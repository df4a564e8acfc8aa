#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/relay/crash_board.hpp>

#include <functional>
#include <string>

namespace monsoondock::relay {

/// Why traffic makes a daemon doubt an upstream.
enum class doubt_reason
{
    /// All of its streams stood still for too long.
    silent,
    /// No connection could be opened.
    unreachable,
    /// It said that a host of its group keeps it from serving.
    group_failed
};


/// What traffic tells about an upstream.
struct doubt
{
    base::host_id host_;
    doubt_reason reason_ = doubt_reason::silent;
    /// Host at fault when the upstream named it, else empty.
    base::host_id failed_host_;
};


/// What the traffic thread reports. The functions run on the traffic thread
/// and must only hand over to another one.
struct front_events
{
    std::function<void(const doubt&)> doubted_;
    std::function<void(const crash_report&)> crashed_;
    /// A peer doubts an upstream that answers this daemon.
    std::function<void(const base::host_id&)> answers_;
};


/// Returns the name of a reason as it appears in logs.
const char* to_string(doubt_reason reason) noexcept;

} // namespace monsoondock::relay

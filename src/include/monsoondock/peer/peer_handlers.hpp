#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/membership/member_event.hpp>
#include <monsoondock/peer/settings_reply.hpp>
#include <monsoondock/peer/settings_request.hpp>

#include <functional>
#include <string>

namespace monsoondock::peer {

/// Callbacks that a service invokes on its executor. Each may be empty; without
/// settings_request_, requests are answered with an empty reply.
struct peer_handlers
{
    /// The membership has changed.
    std::function<void(const membership::member_event&)> member_event_;
    /// A peer requests settings.
    std::function<settings_reply(const settings_request&)> settings_request_;
    /// An authenticated body was received on the group health channel.
    std::function<void(const base::daemon_id& sender, const std::string& body)>
        group_health_;
};

} // namespace monsoondock::peer

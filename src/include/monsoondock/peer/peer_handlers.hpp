#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/membership/member_event.hpp>
#include <monsoondock/peer/settings_reply.hpp>
#include <monsoondock/peer/settings_request.hpp>

#include <functional>
#include <string>

namespace monsoondock::peer {

/// What a service calls on its executor. An empty function is not called;
/// a settings_request is then answered with an empty reply.
struct peer_handlers
{
    /// Something changed in the membership.
    std::function<void(const membership::member_event&)> member_event_;
    /// A peer asks for settings.
    std::function<settings_reply(const settings_request&)> settings_request_;
    /// A body came on the group health channel. Its sender is authentic.
    std::function<void(const base::daemon_id& sender, const std::string& body)>
        group_health_;
};

} // namespace monsoondock::peer

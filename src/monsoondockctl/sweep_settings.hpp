#pragma once

#include "platform_session.hpp"

namespace monsoondockctl {

/// Deletes the settings objects that only the oldest acceptances of the head
/// needed. Whatever fails is left in the store and does no harm.
void sweep_settings(platform_session& session);

} // namespace monsoondockctl

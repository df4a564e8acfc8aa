#pragma once

#include "platform_session.hpp"

namespace monsoondockctl {

/// Deletes the settings objects of the revision before the history of the head
/// that the oldest revision in the history no longer uses. Failures are
/// ignored: an object that remains in the store has no effect.
void prune_settings(platform_session& session);

} // namespace monsoondockctl

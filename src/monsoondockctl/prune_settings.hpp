#pragma once

#include "platform_session.hpp"

namespace monsoondockctl {

/// Deletes the index object of the revision that was last removed from the
/// history of the head, and those of its node objects that the oldest revision
/// in the history does not use. Failures are ignored: an object that remains in
/// the store has no effect.
void prune_settings(platform_session& session);

} // namespace monsoondockctl

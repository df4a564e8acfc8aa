#pragma once

#include "exit_code.hpp"
#include "platform_session.hpp"

#include <monsoondock/settings/tree_change.hpp>

#include <vector>

namespace monsoondockctl {

/// Submits changes to the settings tree in the store, prints the outcome and
/// returns its exit code.
exit_code accept_edit(
    platform_session& session,
    const options& o,
    const std::vector<monsoondock::settings::tree_change>& changes);

} // namespace monsoondockctl

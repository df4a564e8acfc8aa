#pragma once

#include "platform_session.hpp"

#include <monsoondock/base/result.hpp>
#include <monsoondock/settings/settings_head.hpp>
#include <monsoondock/settings/settings_index.hpp>
#include <monsoondock/settings/settings_tree.hpp>

namespace monsoondockctl {

/// Reads the head of the accepted settings; revision 0 when there is none.
monsoondock::base::result<monsoondock::settings::settings_head>
read_head(platform_session& session);


/// Reads the index of the accepted tree; revision 0 when there is none.
monsoondock::base::result<monsoondock::settings::settings_index>
read_index(platform_session& session);


/// Reads the accepted tree; empty when there is none.
monsoondock::base::result<monsoondock::settings::settings_tree>
read_tree(platform_session& session);


/// Returns a problem when --platform was not given.
std::optional<monsoondock::base::problem> check_platform(const options& o);

} // namespace monsoondockctl

#pragma once

#include "schema_claims.hpp"
#include "schema_deployment.hpp"
#include "schema_interactive.hpp"
#include "schema_limits.hpp"
#include "schema_report.hpp"
#include "schema_suspects.hpp"
#include "schema_workspace.hpp"

namespace monsoondock::settings::pvt {

/// Calls visit(setting, access) for every key, in a fixed order.
template <class Visit>
void for_each_setting(const Visit& visit)
{
    visit_deployment(visit);
    visit_workspace(visit);
    visit_interactive(visit);
    visit_report(visit);
    visit_limits(visit);
    visit_claims(visit);
    visit_suspects(visit);
}

} // namespace monsoondock::settings::pvt

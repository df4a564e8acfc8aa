#pragma once

#include <monsoondock/settings/claim_settings.hpp>
#include <monsoondock/settings/class_settings.hpp>
#include <monsoondock/settings/deployment_settings.hpp>
#include <monsoondock/settings/limit_settings.hpp>
#include <monsoondock/settings/sourced.hpp>
#include <monsoondock/settings/suspect_settings.hpp>
#include <monsoondock/settings/workspace_settings.hpp>

#include <optional>

namespace monsoondock::settings {

/// Every setting, by section.
template <template <class> class Wrap>
struct settings_values
{
    deployment_settings<Wrap> deployment_;
    workspace_settings<Wrap> workspace_;
    class_settings<Wrap> interactive_;
    class_settings<Wrap> report_;
    limit_settings<Wrap> limits_;
    claim_settings<Wrap> claims_;
    suspect_settings<Wrap> suspects_;
};

/// Values set in one node; absent ones are inherited.
using own_values = settings_values<std::optional>;

/// Values in force at one place, each with its source.
using effective_values = settings_values<sourced>;

} // namespace monsoondock::settings

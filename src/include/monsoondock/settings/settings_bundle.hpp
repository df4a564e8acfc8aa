#pragma once

#include <monsoondock/settings/settings_head.hpp>
#include <monsoondock/settings/settings_node.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::settings {

/// A head with all its nodes, as one daemon sends it to another.
struct settings_bundle
{
    settings_head head_;
    std::vector<settings_node> nodes_;
};


/// Encodes a bundle as JSON.
std::string to_json(const settings_bundle& bundle);


/// Decodes the JSON text of a bundle.
checked<settings_bundle> parse_bundle_json(std::string_view text);

} // namespace monsoondock::settings

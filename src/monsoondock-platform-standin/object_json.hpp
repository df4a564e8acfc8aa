#pragma once

#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>

#include <string>

namespace monsoondock::platform_standin {

/// Returns {"key","version","value"}.
std::string to_json(const platform::object& o);


/// Returns {"version","objects"}.
std::string to_json(const platform::listing& l);


/// Returns {"next","changes"}.
std::string to_json(const platform::change_batch& b);

} // namespace monsoondock::platform_standin

#pragma once

#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>

#include <string>

namespace monsoondock::platform_standin {

/// Serializes an object as {"key","version","value"}.
std::string to_json(const platform::object& o);


/// Serializes a listing as {"version","objects"}.
std::string to_json(const platform::listing& l);


/// Serializes changes as {"next","changes"}. A deletion is written as
/// {"key","version","deleted"}.
std::string to_json(const platform::change_batch& b);

} // namespace monsoondock::platform_standin

#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>

#include <string_view>

namespace monsoondock::platform::pvt {

/// Parses the body of the response to a get.
base::result<object> parse_object(std::string_view body);


/// Parses the body of the response to a list.
base::result<listing> parse_listing(std::string_view body);


/// Parses the body of the response to a watch.
base::result<change_batch> parse_changes(std::string_view body);


/// Parses the version from the body of the response to a write.
base::result<version> parse_version(std::string_view body);

} // namespace monsoondock::platform::pvt

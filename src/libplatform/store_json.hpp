#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>

#include <string_view>

namespace monsoondock::platform::pvt {

/// Reads the body of an answer to a get.
base::result<object> parse_object(std::string_view body);


/// Reads the body of an answer to a list.
base::result<listing> parse_listing(std::string_view body);


/// Reads the body of an answer to a watch.
base::result<change_batch> parse_changes(std::string_view body);


/// Reads the version from the body of an answer to a write.
base::result<version> parse_version(std::string_view body);

} // namespace monsoondock::platform::pvt

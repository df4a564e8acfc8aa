#pragma once

#include <monsoondock/base/identifier.hpp>

#include <string_view>

namespace monsoondock::settings {

/// SHA-256 of an API key as 64 lower-case hexadecimal digits. The key itself
/// is stored nowhere.
using api_key_hash = base::identifier<struct api_key_hash_tag>;


/// Returns the hash of a key, computed by OpenSSL.
api_key_hash hash_api_key(std::string_view key);

} // namespace monsoondock::settings

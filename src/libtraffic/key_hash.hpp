#pragma once

#include <string>
#include <string_view>

namespace monsoondock::traffic::pvt {

/// Returns the SHA-256 of an API key in lower-case hexadecimal digits.
/// Source: OpenSSL.
std::string key_hash(std::string_view key);

} // namespace monsoondock::traffic::pvt

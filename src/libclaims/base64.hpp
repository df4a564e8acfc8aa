#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::claims::pvt {

/// Returns bytes as padded base64 without line breaks.
std::string encode_base64(std::string_view bytes);


/// Decodes padded base64. Returns nothing when text is not valid.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace monsoondock::claims::pvt

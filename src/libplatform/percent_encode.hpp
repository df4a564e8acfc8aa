#pragma once

#include <cctype>
#include <string>
#include <string_view>

namespace monsoondock::platform::pvt {

/// Percent-encodes text for use in the path of a URL. Unreserved characters
/// and slashes are not encoded.
inline std::string percent_encode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) ||
            std::string_view("-._~/").find(c) != std::string_view::npos) {
            result += c;
            continue;
        }
        result += '%';
        result += digits[byte >> 4U];
        result += digits[byte & 15U];
    }
    return result;
}

} // namespace monsoondock::platform::pvt

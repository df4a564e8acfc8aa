#include "percent_decode.hpp"

#include <charconv>

namespace monsoondock::standin::pvt {

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char byte = 0;
        const char* digits = text.data() + i + 1;
        const bool escape =
            text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2;
        decoded += escape ? static_cast<char>(byte) : text[i];
        if (escape)
            i += 2;
    }
    return decoded;
}

} // namespace monsoondock::standin::pvt

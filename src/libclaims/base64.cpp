#include "base64.hpp"

#include <openssl/evp.h>

namespace monsoondock::claims::pvt {

namespace {

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}


std::size_t padding_length(std::string_view text)
{
    std::size_t count = 0;
    while (count < 2 && text[text.size() - 1 - count] == '=')
        ++count;
    return count;
}

} // namespace


std::string encode_base64(std::string_view bytes)
{
    // EVP_EncodeBlock writes a terminating zero after the text.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()),
        as_bytes(bytes),
        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}


std::optional<std::string> decode_base64(std::string_view text)
{
    if (text.empty())
        return std::string();
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(
        reinterpret_cast<unsigned char*>(bytes.data()),
        as_bytes(text),
        static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(length) - padding_length(text));
    return bytes;
}

} // namespace monsoondock::claims::pvt

#include <monsoondock/standin/answer_token.hpp>

#include <boost/crc.hpp>

#include <cstdio>

namespace monsoondock::standin {

std::string answer_token(std::string_view prompt, std::size_t position)
{
    const std::string number = std::to_string(position);
    boost::crc_32_type crc;
    crc.process_bytes(prompt.data(), prompt.size());
    crc.process_byte('#');
    crc.process_bytes(number.data(), number.size());
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", crc.checksum());
    return "w" + number + "-" + digits + " ";
}


std::string answer_text(std::string_view prompt, std::size_t max_tokens)
{
    std::string text;
    for (std::size_t i = 0; i < max_tokens; ++i)
        text += answer_token(prompt, i);
    return text;
}

} // namespace monsoondock::standin

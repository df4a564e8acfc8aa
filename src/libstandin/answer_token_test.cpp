#include <monsoondock/standin/answer_token.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::standin;


Test(answer_token, is_the_crc_of_prompt_and_position)
{
    // CRC-32 of "a#0" and "a#1", as Python's zlib.crc32 gives them.
    cr_assert(answer_text("a", 2) == "w0-2e243fc8 w1-59230f5e ");
}

#include <monsoondock/base/find_response.hpp>

#include <criterion/criterion.h>

#include <string>

using monsoondock::base::find_response;

namespace {

const std::string body = "{\"paid\":5}";
const std::string response =
    "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 10\r\n\r\n" + body;

} // namespace

Test(find_response, a_second_response_is_found_behind_the_first_body)
{
    cr_assert_eq(find_response(body + response, "X-Id"), body.size());
    cr_assert_eq(find_response(response, "x-id"), 0);
}


// Guards against taking a body that is about HTTP for a second response.
Test(find_response, other_text_is_none)
{
    for (const std::string& text :
         {body,
          std::string(),
          "see HTTP/1.1 " + body,
          "HTTP/1.1 200 OK\r\nX-Other: r-1\r\n\r\n" + body,
          "HTTP/1.1 200 OK\r\nX-Id: r-1\r\n" + body})
        cr_assert_eq(
            find_response(text, "X-Id"), std::string::npos, "%s", text.c_str());
}


Test(find_response, text_before_a_second_response_may_look_like_one)
{
    const std::string before = "HTTP/1.0, HTTP/1.1 999\r\n\r\n";
    cr_assert_eq(find_response(before + response, "X-Id"), before.size());
}


// A body of lines that look like the begin of a header blocked the thread for
// seconds, as each of them was parsed to the end of the text.
Test(find_response, each_line_is_looked_at_once, .timeout = 30)
{
    std::string text;
    while (text.size() < std::size_t{16} * 1024 * 1024)
        text.append("a:HTTP/1.1 200 \r\n");
    cr_assert_eq(find_response(text, "X-Id"), std::string::npos);
}

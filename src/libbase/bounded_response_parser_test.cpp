#include "response_examples_test.hpp"

#include <monsoondock/base/read_response_header.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/string_body.hpp>
#include <criterion/criterion.h>

using namespace monsoondock::base::test;

namespace http = boost::beast::http;

namespace {

using parser = monsoondock::base::bounded_response_parser<http::string_body>;


constexpr std::uint32_t max_header_bytes = 64 * 1024;


// Parses the text in parts of the given size.
boost::system::error_code
parse(parser& p, const std::string& text, std::size_t part_bytes)
{
    p.eager(true);
    boost::system::error_code failure;
    std::string received;
    for (std::size_t at = 0; at < text.size() && !failure; at += part_bytes) {
        received += text.substr(at, part_bytes);
        const std::size_t used = p.put(boost::asio::buffer(received), failure);
        received.erase(0, used);
        if (failure == http::error::need_more)
            failure = {};
    }
    return failure;
}


bool is_accepted(const std::string& text, std::size_t part_bytes)
{
    parser p(max_header_bytes);
    return !parse(p, text, part_bytes) && p.is_done();
}


void expect_rejected(const response_example& e, const std::string& text)
{
    for (const std::size_t part_bytes : {text.size(), std::size_t{1}})
        cr_expect_not(
            is_accepted(text, part_bytes),
            "accepted: %s, in parts of %zu bytes",
            e.name_.c_str(),
            part_bytes);
}


void expect_rejected(const std::vector<response_example>& examples)
{
    for (const response_example& e : examples) {
        expect_rejected(e, make_response(e, "X-First: 1\r\n", "body"));
        if (!e.fields_.empty())
            expect_rejected(
                e, make_response_with_trailers(e, "X-First: 1\r\n", "body"));
    }
}

} // namespace


// Guards against a status outside 100 to 599 that counts as an answer.
Test(response_parser, accepts_exactly_the_statuses_of_http)
{
    for (int code = 0; code < 1000; ++code) {
        std::string digits = std::to_string(code);
        digits.insert(0, 3 - digits.size(), '0');
        const bool accepted = is_accepted(
            make_response({{}, digits + " X", {}}, {}, {}), max_header_bytes);
        cr_expect_eq(accepted, code >= 100 && code <= 599, "%d", code);
    }
}


// Guards against field names with a byte that no name may hold.
Test(response_parser, accepts_exactly_the_names_of_http)
{
    const std::string punctuation = "!#$%&'*+-.^_`|~";
    for (int byte = 0; byte < 256; ++byte) {
        const char c = static_cast<char>(byte);
        const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        const bool is_valid = is_letter || (c >= '0' && c <= '9') ||
                              punctuation.find(c) != std::string::npos;
        // It ends the name.
        if (c == ':')
            continue;
        for (const std::string& name :
             {std::string(1, c), c + std::string("b"), std::string("b") + c}) {
            // It continues the line before it; see rejects_folded_lines.
            if (name.front() == ' ' || name.front() == '\t')
                continue;
            const bool accepted = is_accepted(
                make_response({{}, "200 OK", name + ": a\r\n"}, {}, {}),
                max_header_bytes);
            cr_expect_eq(accepted, is_valid, "%d", byte);
        }
    }
    expect_rejected(invalid_names());
}


// Guards against a field line that begins with a blank and becomes part of the
// value before it, so that its framing is lost.
Test(response_parser, rejects_folded_lines)
{
    expect_rejected(folded_fields());
}


// Guards against checks that reject what is valid.
Test(response_parser, accepts_unusual_responses)
{
    for (const response_example& e : unusual_responses()) {
        for (const std::string& text :
             {make_response(e, {}, "body"),
              make_response_with_trailers(e, {}, "body")}) {
            for (const std::size_t part_bytes : {text.size(), std::size_t{1}})
                cr_expect(is_accepted(text, part_bytes), "%s", e.name_.c_str());
        }
    }
}

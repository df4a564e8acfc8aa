#pragma once

#include <array>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::base::test {

/// What a response differs in from the usual one.
struct response_example
{
    std::string name_;
    /// Status code and reason phrase.
    std::string status_ = "200 OK";
    /// Field lines, which follow all others.
    std::string fields_;
};


/// Returns a response in which own_fields, each ending with a line break, come
/// first.
inline std::string make_response(
    const response_example& example,
    const std::string& own_fields,
    const std::string& body)
{
    return "HTTP/1.1 " + example.status_ + "\r\n" + own_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n" +
           example.fields_ + "\r\n" + body;
}


/// Returns a response in chunks with the fields of the example as trailers.
inline std::string make_response_with_trailers(
    const response_example& example,
    const std::string& own_fields,
    const std::string& body)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return "HTTP/1.1 " + example.status_ + "\r\n" + own_fields +
           "Transfer-Encoding: chunked\r\n\r\n" + size.data() + body +
           "\r\n0\r\n" + example.fields_ + "\r\n";
}


/// Returns responses whose status is outside the range of RFC 9110, section 15.
inline std::vector<response_example> invalid_statuses()
{
    std::vector<response_example> examples;
    for (const char* code : {"000", "001", "099", "600", "999"})
        examples.push_back({code, std::string(code) + " X", {}});
    return examples;
}


/// Returns responses with a field line whose name is not a token (RFC 9110,
/// section 5.6.2).
inline std::vector<response_example> invalid_names()
{
    using namespace std::string_view_literals;

    constexpr std::string_view bytes =
        " \t\r\n\0\x01\x1f\"(),/;<=>?@[\\]{}\x7f\x80\xff"sv;
    std::vector<response_example> examples{
        {"empty name", "200 OK", ": a\r\n"},
        {"no colon", "200 OK", "X-Name\r\n"},
        {"blank before the colon", "200 OK", "X-Name : a\r\n"},
        {"tab before the colon", "200 OK", "X-Name\t: a\r\n"}};
    for (const char c : bytes) {
        std::array<char, 40> name{};
        std::snprintf(
            name.data(),
            name.size(),
            "byte 0x%02x in a name",
            static_cast<unsigned>(static_cast<unsigned char>(c)));
        examples.push_back(
            {name.data(), "200 OK", "X-Na" + std::string(1, c) + "me: a\r\n"});
    }
    return examples;
}


/// Returns responses with a field line that begins with a blank or tab, so that
/// it continues the line before it (RFC 9112, section 5.2).
inline std::vector<response_example> folded_fields()
{
    return {
        {"blank before a name", "200 OK", "X-Field: a\r\n X-Name: b\r\n"},
        {"tab before a name", "200 OK", "X-Field: a\r\n\tX-Name: b\r\n"},
        {"blank before a name, after an empty value",
         "200 OK",
         "X-Field:\r\n X-Name: b\r\n"},
        {"line of blanks", "200 OK", "X-Field: a\r\n  \r\n"},
        {"line of blanks after an empty value",
         "200 OK",
         "X-Field:\r\n \t \r\n"}};
}


/// Returns responses that are valid, though unusual.
inline std::vector<response_example> unusual_responses()
{
    return {
        {"no reason phrase", "200 ", {}},
        {"unassigned success", "299 Unusual", {}},
        {"unassigned redirection", "399 Unusual", {}},
        {"unassigned client error", "498 Unusual", {}},
        {"every character of a name",
         "200 OK",
         "!#$%&'*+-.^_`|~0123456789"
         "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz: a\r\n"},
        {"blanks around a value", "200 OK", "X-Field: \t a b\t \r\n"},
        {"empty value", "200 OK", "X-Field:\r\nX-Other: \r\n"},
        {"bytes over 127 in a value", "200 OK", "X-Field: \x80\xff\r\n"}};
}

} // namespace monsoondock::base::test

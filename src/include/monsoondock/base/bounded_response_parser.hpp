#pragma once

#include <monsoondock/base/bounded_parser.hpp>

namespace monsoondock::base {

/// Parser for all that read a response; what makes its head valid is decided
/// here. Beast's parser rejects what breaks the grammar of RFC 9112: a status
/// line without a known version or without three digits, a field name that is
/// no token, control bytes in a value or a reason phrase, lines that end
/// without CR LF. This one rejects in addition:
/// - a status outside 100 to 599 (RFC 9110, section 15), as `bad_status`;
/// - a field line that begins with a blank or tab, and so continues the line
///   before it (RFC 9112, section 5.2), as `bad_obs_fold`: it may be a field of
///   its own that the sender spoiled, and without it the body has another
///   framing.
///
/// It holds for informational responses too, and the rules for fields for
/// trailers. A response that is rejected counts as one that broke off: close
/// its connection, and take nothing of it as evidence.
template <class Body>
class bounded_response_parser : public bounded_parser<false, Body>
{
public:
    using bounded_parser<false, Body>::bounded_parser;

private:
    static constexpr unsigned min_status = 100;
    static constexpr unsigned max_status = 599;


    // Beast's parser hands over a value where it stands in the header, after
    // the separator and blanks, unless the value has been folded: then it
    // begins on a later line, or its lines have been joined in another buffer.
    static bool
    is_folded(boost::beast::string_view name, boost::beast::string_view value)
    {
        const char* after_name = name.data() + name.size() + 1;
        while (*after_name == ' ' || *after_name == '\t')
            ++after_name;
        return value.data() != after_name;
    }


    void on_field_impl(
        boost::beast::http::field name,
        boost::beast::string_view name_string,
        boost::beast::string_view value,
        boost::beast::error_code& failure) override
    {
        if (is_folded(name_string, value)) {
            failure = boost::beast::http::error::bad_obs_fold;
            return;
        }
        bounded_parser<false, Body>::on_field_impl(
            name, name_string, value, failure);
    }


    void on_header_impl(boost::beast::error_code& failure) override
    {
        const unsigned status = this->get().result_int();
        if (status < min_status || status > max_status)
            failure = boost::beast::http::error::bad_status;
    }
};

} // namespace monsoondock::base

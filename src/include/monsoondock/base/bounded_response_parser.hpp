#pragma once

#include <monsoondock/base/bounded_parser.hpp>

namespace monsoondock::base {

/// Parser for all that read a response; what makes its head valid is decided
/// here. Beast's parser rejects what breaks the grammar of RFC 9112: a status
/// line without a known version or without three digits, a field name that is
/// no token, control bytes in a value or a reason phrase, lines that end
/// without CR LF. This one rejects in addition, with the error `bad_status`, a
/// status outside 100 to 599 (RFC 9110, section 15).
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


    void on_header_impl(boost::beast::error_code& failure) override
    {
        const unsigned status = this->get().result_int();
        if (status < min_status || status > max_status)
            failure = boost::beast::http::error::bad_status;
    }
};

} // namespace monsoondock::base

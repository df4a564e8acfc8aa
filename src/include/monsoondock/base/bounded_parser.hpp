#pragma once

#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>

namespace monsoondock::base {

/// Parser of an HTTP message whose header and trailer fields together have a
/// limit. The header limit of `boost::beast::http::parser` concerns only the
/// part that has not been parsed, so that a sender which chooses where its
/// segments end can go on for ever.
template <bool IsRequest, class Body>
class bounded_parser : public boost::beast::http::parser<IsRequest, Body>
{
public:
    /// The limit is for the first line, and for all field lines together.
    explicit bounded_parser(std::uint32_t max_header_bytes)
        : max_header_bytes_(max_header_bytes)
    {
        this->header_limit(max_header_bytes);
    }

protected:
    void on_field_impl(
        boost::beast::http::field name,
        boost::beast::string_view name_string,
        boost::beast::string_view value,
        boost::beast::error_code& failure) override
    {
        field_bytes_ += name_string.size() + value.size() + line_overhead_bytes;
        if (field_bytes_ > max_header_bytes_) {
            failure = boost::beast::http::error::header_limit;
            return;
        }
        this->get().insert(name, name_string, value);
    }

private:
    // The separator after the name, and the end of the line.
    static constexpr std::size_t line_overhead_bytes = 4;


    std::size_t max_header_bytes_;
    std::size_t field_bytes_ = 0;
};

} // namespace monsoondock::base

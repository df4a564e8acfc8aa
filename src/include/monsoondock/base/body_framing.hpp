#pragma once

namespace monsoondock::base {

/// How the end of the body of a response is marked.
enum class body_framing
{
    /// No header has been received.
    none,
    /// The header has the length, or says that there is no body.
    length,
    /// The last chunk ends the body.
    chunked,
    /// The sender closes the connection after the body.
    connection_close
};


/// Returns the framing that the parser found in the header of a response.
template <class Parser>
body_framing framing_of(const Parser& parser)
{
    if (parser.need_eof())
        return body_framing::connection_close;
    return parser.chunked() ? body_framing::chunked : body_framing::length;
}


/// Returns the name of a framing as it appears in logs.
const char* to_string(body_framing framing) noexcept;

} // namespace monsoondock::base

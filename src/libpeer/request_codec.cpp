#include "request_codec.hpp"

namespace monsoondock::peer {

namespace {

/// First byte of each body, so that further message types can be added.
enum class body_kind : std::uint8_t
{
    settings_request = 1,
    settings_reply = 2
};


void write_kind(wire::body_writer& out, body_kind kind)
{
    out(static_cast<std::uint8_t>(kind));
}


void read_kind(wire::body_reader& in, body_kind expected)
{
    std::uint8_t kind = 0;
    in(kind);
    if (kind != static_cast<std::uint8_t>(expected))
        throw std::range_error("unexpected body kind");
}

} // namespace

void write(wire::body_writer& out, const settings_request& request)
{
    write_kind(out, body_kind::settings_request);
    out(request.known_revision_);
}


void read(wire::body_reader& in, settings_request& request)
{
    read_kind(in, body_kind::settings_request);
    in(request.known_revision_);
}


void write(wire::body_writer& out, const settings_reply& reply)
{
    write_kind(out, body_kind::settings_reply);
    out(reply.revision_);
    wire::write_text(out, reply.bundle_json_);
}


void read(wire::body_reader& in, settings_reply& reply)
{
    read_kind(in, body_kind::settings_reply);
    in(reply.revision_);
    wire::read_text(in, reply.bundle_json_, MAX_SETTINGS_BYTES);
}

} // namespace monsoondock::peer

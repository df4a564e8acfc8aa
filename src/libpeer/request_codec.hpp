#pragma once

#include <monsoondock/peer/settings_reply.hpp>
#include <monsoondock/peer/settings_request.hpp>
#include <monsoondock/wire/body_codec.hpp>

namespace monsoondock::peer {

/// Serialisation of the request and reply bodies, called by
/// wire::encode_body and wire::decode_body.
void write(wire::body_writer& out, const settings_request& request);
void read(wire::body_reader& in, settings_request& request);
void write(wire::body_writer& out, const settings_reply& reply);
void read(wire::body_reader& in, settings_reply& reply);

} // namespace monsoondock::peer

#include "envelope_codec.hpp"

#include <monsoondock/wire/limits.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <sstream>
#include <stdexcept>

namespace monsoondock::wire::pvt {

namespace {

channel read_channel(cereal::PortableBinaryInputArchive& in)
{
    std::uint8_t number = 0;
    in(number);
    if (number >= CHANNEL_COUNT)
        throw std::range_error("unknown channel");
    return static_cast<channel>(number);
}


std::string read_sender(cereal::PortableBinaryInputArchive& in)
{
    std::uint8_t size = 0;
    in(size);
    if (size == 0 || size > MAX_SENDER_BYTES)
        throw std::range_error("sender name is empty or too long");
    std::string name(size, '\0');
    in(cereal::binary_data(name.data(), name.size()));
    return name;
}


envelope read_envelope(std::istringstream& stream, std::string_view bytes)
{
    envelope e;
    cereal::PortableBinaryInputArchive in(stream);
    e.channel_ = read_channel(in);
    e.sender_.value_ = read_sender(in);
    in(e.incarnation_, e.sequence_);
    e.body_ = bytes.substr(static_cast<std::size_t>(stream.tellg()));
    return e;
}

} // namespace

std::string encode_envelope(const envelope& e)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive out(stream);
        out(static_cast<std::uint8_t>(e.channel_));
        out(static_cast<std::uint8_t>(e.sender_.value_.size()));
        const std::string& name = e.sender_.value_;
        out(cereal::binary_data(name.data(), name.size()));
        out(e.incarnation_, e.sequence_);
    }
    return std::move(stream).str() + e.body_;
}


std::optional<envelope> decode_envelope(std::string_view bytes)
{
    constexpr std::size_t header_bytes = MAX_ENVELOPE_OVERHEAD_BYTES;
    try {
        std::istringstream stream(std::string(bytes.substr(0, header_bytes)));
        return read_envelope(stream, bytes);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace monsoondock::wire::pvt

#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace monsoondock::wire {

/// Binary archives that serialise message bodies between daemons.
using body_writer = cereal::PortableBinaryOutputArchive;
using body_reader = cereal::PortableBinaryInputArchive;


/// Writes a string, preceded by its length in bytes as a 32-bit integer.
inline void write_text(body_writer& out, const std::string& text)
{
    out(static_cast<std::uint32_t>(text.size()));
    out(cereal::binary_data(text.data(), text.size()));
}


/// Reads a string of at most limit bytes. Throws std::range_error if it is
/// longer; decode_body catches the exception.
inline void read_text(body_reader& in, std::string& text, std::size_t limit)
{
    std::uint32_t size = 0;
    in(size);
    if (size > limit)
        throw std::range_error("text is too long");
    text.resize(size);
    in(cereal::binary_data(text.data(), text.size()));
}


/// Writes the number of elements of a list as a 32-bit integer.
inline void write_count(body_writer& out, std::size_t count)
{
    out(static_cast<std::uint32_t>(count));
}


/// Reads the number of elements of a list. Throws std::range_error if it
/// exceeds limit; decode_body catches the exception.
inline std::size_t read_count(body_reader& in, std::size_t limit)
{
    std::uint32_t count = 0;
    in(count);
    if (count > limit)
        throw std::range_error("list is too long");
    return count;
}


/// Serialises a value. Its namespace must have a function
/// write(body_writer&, const Value&).
template <class Value>
std::string encode_body(const Value& value)
{
    std::ostringstream stream;
    {
        body_writer out(stream);
        write(out, value);
    }
    return std::move(stream).str();
}


/// Deserialises a value. Its namespace must have a function
/// read(body_reader&, Value&). Returns nothing if the bytes are truncated,
/// followed by further bytes, or contain a value out of range.
template <class Value>
std::optional<Value> decode_body(const std::string& bytes)
{
    try {
        std::istringstream stream(bytes);
        body_reader in(stream);
        Value value;
        read(in, value);
        if (stream.peek() != std::istringstream::traits_type::eof())
            return std::nullopt;
        return value;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace monsoondock::wire

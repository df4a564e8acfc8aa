#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::wire {

/// Returns a frame for a TCP connection: the length of the sealed envelope as
/// a 32-bit integer in network byte order, followed by the envelope.
std::string make_frame(std::string_view sealed);


/// Splits the byte stream of a TCP connection into sealed envelopes.
class frame_splitter
{
public:
    explicit frame_splitter(std::size_t limit) : limit_(limit) {}


    /// Appends received bytes. Returns false if a frame exceeds the limit; the
    /// splitter then returns no more frames and the connection should be
    /// closed.
    bool add(std::string_view bytes);


    /// Returns the next complete envelope, or nothing if more bytes are needed.
    std::optional<std::string> next();

private:
    bool next_frame_fits() const;

    std::size_t limit_;
    std::string buffer_;
    bool limit_exceeded_ = false;
};

} // namespace monsoondock::wire

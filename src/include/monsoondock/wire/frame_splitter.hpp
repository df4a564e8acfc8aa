#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::wire {

/// Returns the bytes of a frame on a TCP connection: the length of the sealed
/// envelope in four bytes, most significant first, and the envelope.
std::string make_frame(std::string_view sealed);


/// Cuts the bytes of a TCP connection into sealed envelopes.
class frame_splitter
{
public:
    explicit frame_splitter(std::size_t limit) : limit_(limit) {}


    /// Adds received bytes. Returns false when a frame is longer than the
    /// limit; the connection is of no use then.
    bool add(std::string_view bytes);


    /// Returns the next whole envelope, or nothing when more bytes are needed.
    std::optional<std::string> next();

private:
    bool within_limit() const;

    std::size_t limit_;
    std::string waiting_;
    bool broken_ = false;
};

} // namespace monsoondock::wire

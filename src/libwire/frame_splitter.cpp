#include <monsoondock/wire/frame_splitter.hpp>

#include <cstdint>

namespace monsoondock::wire {

namespace {

constexpr std::size_t LENGTH_BYTES = 4;


std::size_t read_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < LENGTH_BYTES; ++i)
        length = (length << 8) | static_cast<std::uint8_t>(bytes[i]);
    return length;
}

} // namespace

std::string make_frame(std::string_view sealed)
{
    std::string frame;
    frame.reserve(LENGTH_BYTES + sealed.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        frame += static_cast<char>((sealed.size() >> shift) & 0xffU);
    frame += sealed;
    return frame;
}


bool frame_splitter::add(std::string_view bytes)
{
    buffer_ += bytes;
    limit_exceeded_ = limit_exceeded_ || !next_frame_fits();
    return !limit_exceeded_;
}


bool frame_splitter::next_frame_fits() const
{
    return buffer_.size() < LENGTH_BYTES || read_length(buffer_) <= limit_;
}


std::optional<std::string> frame_splitter::next()
{
    if (limit_exceeded_ || buffer_.size() < LENGTH_BYTES)
        return std::nullopt;
    const std::size_t frame_end = LENGTH_BYTES + read_length(buffer_);
    if (buffer_.size() < frame_end)
        return std::nullopt;
    std::string sealed = buffer_.substr(LENGTH_BYTES, frame_end - LENGTH_BYTES);
    buffer_.erase(0, frame_end);
    limit_exceeded_ = !next_frame_fits();
    return sealed;
}

} // namespace monsoondock::wire

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
    waiting_ += bytes;
    broken_ = broken_ || !within_limit();
    return !broken_;
}


bool frame_splitter::within_limit() const
{
    return waiting_.size() < LENGTH_BYTES || read_length(waiting_) <= limit_;
}


std::optional<std::string> frame_splitter::next()
{
    if (broken_ || waiting_.size() < LENGTH_BYTES)
        return std::nullopt;
    const std::size_t end = LENGTH_BYTES + read_length(waiting_);
    if (waiting_.size() < end)
        return std::nullopt;
    std::string sealed = waiting_.substr(LENGTH_BYTES, end - LENGTH_BYTES);
    waiting_.erase(0, end);
    broken_ = !within_limit();
    return sealed;
}

} // namespace monsoondock::wire

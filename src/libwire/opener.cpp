#include "authentication.hpp"
#include "envelope_codec.hpp"

#include <monsoondock/wire/opener.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::wire {

namespace {

/// Version and key number.
constexpr std::size_t PREFIX_BYTES = 2;


const key* find_key(const key_ring& keys, std::uint8_t number)
{
    if (keys.current_.number_ == number)
        return &keys.current_;
    if (keys.previous_ && keys.previous_->number_ == number)
        return &*keys.previous_;
    return nullptr;
}


bool is_authentic(
    const key& k, std::string_view bytes, std::string_view audience)
{
    const std::size_t covered = bytes.size() - MAC_BYTES;
    const auto code =
        pvt::authenticate(k.secret_, bytes.substr(0, covered), audience);
    return code && pvt::equal_in_constant_time(*code, bytes.substr(covered));
}

} // namespace

opener::opener(key_ring keys) : keys_(std::move(keys)) {}


open_result opener::open(
    std::string_view bytes,
    std::string_view audience,
    std::size_t limit,
    base::time_point now)
{
    open_result result = check(bytes, audience, limit, now);
    if (const auto* const reason = std::get_if<drop_reason>(&result))
        drops_.add(*reason);
    return result;
}


open_result opener::check(
    std::string_view bytes,
    std::string_view audience,
    std::size_t limit,
    base::time_point now)
{
    if (bytes.size() > limit)
        return drop_reason::oversized;
    if (bytes.size() < PREFIX_BYTES + MAC_BYTES)
        return drop_reason::truncated;
    if (static_cast<std::uint8_t>(bytes[0]) != PROTOCOL_VERSION)
        return drop_reason::version;
    const key* const k = find_key(keys_, static_cast<std::uint8_t>(bytes[1]));
    if (k == nullptr)
        return drop_reason::unknown_key;
    if (!is_authentic(*k, bytes, audience))
        return drop_reason::forged;
    bytes.remove_suffix(MAC_BYTES);
    auto decoded = pvt::decode_envelope(bytes.substr(PREFIX_BYTES));
    if (!decoded)
        return drop_reason::malformed;
    if (!is_fresh(*decoded, now))
        return drop_reason::replayed;
    return *std::move(decoded);
}


bool opener::is_fresh(const envelope& e, base::time_point now)
{
    if (!senders_.contains(e.sender_) && senders_.size() >= max_senders)
        evict_least_recent_sender();
    sender_state& sender = senders_[e.sender_];
    sender.last_received_ = now;
    auto& window = sender.windows_[static_cast<std::size_t>(e.channel_)];
    return window.accept(e.incarnation_, e.sequence_);
}


void opener::evict_least_recent_sender()
{
    const auto least_recent = std::min_element(
        senders_.begin(), senders_.end(), [](const auto& a, const auto& b) {
            return a.second.last_received_ < b.second.last_received_;
        });
    senders_.erase(least_recent);
}


void opener::set_keys(key_ring keys)
{
    keys_ = std::move(keys);
}

} // namespace monsoondock::wire

#include "authentication.hpp"
#include "envelope_codec.hpp"

#include <monsoondock/wire/sealer.hpp>

#include <utility>

namespace monsoondock::wire {

sealer::sealer(base::daemon_id self, std::uint64_t incarnation, key_ring keys)
    : self_(std::move(self)), incarnation_(incarnation), keys_(std::move(keys))
{}


std::string
sealer::seal(channel on, std::string_view audience, std::string_view body)
{
    const std::uint64_t sequence = ++sequences_[static_cast<std::size_t>(on)];
    const envelope e{on, self_, incarnation_, sequence, std::string(body)};
    std::string sealed;
    sealed += static_cast<char>(PROTOCOL_VERSION);
    sealed += static_cast<char>(keys_.current_.number_);
    sealed += pvt::encode_envelope(e);
    const auto code =
        pvt::authenticate(keys_.current_.secret_, sealed, audience);
    // Without a code, after a failure of HMAC, receivers drop the envelope.
    if (code)
        sealed.append(code->data(), code->size());
    return sealed;
}


sealed_message sealer::seal_numbered(
    channel on, std::string_view audience, std::string_view body)
{
    std::string bytes = seal(on, audience, body);
    return {std::move(bytes), sequences_[static_cast<std::size_t>(on)]};
}


void sealer::set_keys(key_ring keys)
{
    keys_ = std::move(keys);
}

} // namespace monsoondock::wire

#include "authentication.hpp"
#include "envelope_codec.hpp"

#include <monsoondock/wire/sealer.hpp>

#include <utility>

namespace monsoondock::wire {

sealer::sealer(base::daemon_id self, std::uint64_t boot, key_ring keys)
    : self_(std::move(self)), boot_(boot), keys_(std::move(keys))
{}


std::string
sealer::seal(channel to, std::string_view audience, std::string_view body)
{
    const std::uint64_t sequence = ++sequences_[static_cast<std::size_t>(to)];
    const envelope e{to, self_, boot_, sequence, std::string(body)};
    std::string sealed;
    sealed += static_cast<char>(PROTOCOL_VERSION);
    sealed += static_cast<char>(keys_.current_.number_);
    sealed += pvt::encode_envelope(e);
    const auto code =
        pvt::authenticate(keys_.current_.secret_, sealed, audience);
    // Without a code every receiver drops the envelope.
    if (code)
        sealed.append(code->data(), code->size());
    return sealed;
}


sealed_message sealer::seal_numbered(
    channel to, std::string_view audience, std::string_view body)
{
    std::string bytes = seal(to, audience, body);
    return {std::move(bytes), sequences_[static_cast<std::size_t>(to)]};
}


void sealer::set_keys(key_ring keys)
{
    keys_ = std::move(keys);
}

} // namespace monsoondock::wire

#include "service_state.hpp"

#include <monsoondock/wire/limits.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace monsoondock::peer::pvt {

namespace asio = boost::asio;

namespace {

constexpr auto AWAIT_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds TICK_PERIOD{100};


void dispatch_envelope(
    service_state& state,
    const wire::envelope& envelope,
    const membership::endpoint& from)
{
    const base::time_point now = base::boot_clock::now();
    if (envelope.channel_ == wire::channel::membership)
        process_output(state, state.node_.handle({from, envelope.body_}, now));
    if (envelope.channel_ == wire::channel::group_health &&
        state.handlers_.group_health_)
        state.handlers_.group_health_(envelope.sender_, envelope.body_);
}


void handle_datagram(
    service_state& state,
    std::string_view bytes,
    const membership::endpoint& from)
{
    ++state.counters_.datagrams_received_;
    state.counters_.bytes_received_ += bytes.size();
    const auto result = state.opener_.open(
        bytes,
        to_string(state.config_.self_.peer_),
        wire::MAX_DATAGRAM_BYTES,
        base::boot_clock::now());
    if (const auto* const envelope = std::get_if<wire::envelope>(&result))
        dispatch_envelope(state, *envelope, from);
}

} // namespace

void send_datagram(
    service_state& state,
    wire::channel channel,
    const membership::endpoint& to,
    std::string_view body)
{
    const std::string sealed = state.sealer_.seal(channel, to_string(to), body);
    boost::system::error_code failure;
    state.socket_.send_to(asio::buffer(sealed), to_udp(to), 0, failure);
    if (failure) {
        ++state.counters_.send_failures_;
        return;
    }
    ++state.counters_.datagrams_sent_;
    state.counters_.bytes_sent_ += sealed.size();
}


void process_output(service_state& state, const membership::node_output& out)
{
    for (const membership::datagram& d : out.datagrams_)
        send_datagram(state, wire::channel::membership, d.peer_, d.body_);
    for (const membership::member_event& event : out.events_) {
        if (state.handlers_.member_event_)
            state.handlers_.member_event_(event);
    }
}


asio::awaitable<void> receive_datagrams(state_ptr state)
{
    // The extra byte makes an oversized datagram detectable.
    std::array<char, wire::MAX_DATAGRAM_BYTES + 1> buffer{};
    asio::ip::udp::endpoint from;
    while (!state->stopped_) {
        const auto [failure, size] = co_await state->socket_.async_receive_from(
            asio::buffer(buffer), from, AWAIT_TUPLE);
        if (state->stopped_)
            co_return;
        // Sending to a closed port is reported here as connection refused;
        // ignored, as other peers are unaffected.
        if (!failure)
            handle_datagram(*state, {buffer.data(), size}, to_endpoint(from));
    }
}


asio::awaitable<void> tick_node(state_ptr state)
{
    while (!state->stopped_) {
        process_output(*state, state->node_.tick(base::boot_clock::now()));
        state->timer_.expires_after(TICK_PERIOD);
        co_await state->timer_.async_wait(AWAIT_TUPLE);
    }
}

} // namespace monsoondock::peer::pvt

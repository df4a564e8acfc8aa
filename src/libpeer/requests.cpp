#include "deadline.hpp"
#include "frame_io.hpp"
#include "request_codec.hpp"
#include "service_state.hpp"

#include <monsoondock/wire/limits.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoondock::peer::pvt {

namespace asio = boost::asio;

namespace {

constexpr auto AWAIT_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MAX_REQUEST_BYTES = 4096;
constexpr std::chrono::milliseconds ACCEPT_RETRY_DELAY{100};


settings_reply
make_settings_reply(const service_state& state, const settings_request& request)
{
    if (!state.handlers_.settings_request_)
        return {};
    settings_reply reply = state.handlers_.settings_request_(request);
    const bool fits = reply.bundle_json_.size() <= MAX_SETTINGS_BYTES;
    if (!fits || reply.revision_ <= request.known_revision_)
        reply.bundle_json_.clear();
    return reply;
}


/// Returns the sealed reply to a sealed request, or nothing if the request is
/// not authentic or can't be decoded.
std::optional<std::string>
handle_sealed_request(service_state& state, const std::string& sealed)
{
    const auto result = state.opener_.open(
        sealed,
        to_string(state.config_.self_.peer_),
        MAX_REQUEST_BYTES,
        base::boot_clock::now());
    const auto* const envelope = std::get_if<wire::envelope>(&result);
    if (envelope == nullptr || envelope->channel_ != wire::channel::request)
        return std::nullopt;
    const auto request = wire::decode_body<settings_request>(envelope->body_);
    if (!request)
        return std::nullopt;
    const std::string audience = reply_audience(
        envelope->sender_, envelope->incarnation_, envelope->sequence_);
    return state.sealer_.seal(
        wire::channel::reply,
        audience,
        wire::encode_body(make_settings_reply(state, *request)));
}


asio::awaitable<bool>
serve_request(service_state& state, asio::ip::tcp::socket& socket)
{
    const auto sealed = co_await read_frame(socket, MAX_REQUEST_BYTES);
    if (!sealed || state.stopped_)
        co_return false;
    auto reply = handle_sealed_request(state, *sealed);
    if (!reply)
        co_return false;
    co_return co_await write_frame(socket, *std::move(reply));
}


asio::awaitable<void>
serve_connection(state_ptr state, std::shared_ptr<asio::ip::tcp::socket> socket)
{
    ++state->connections_;
    const deadline request_deadline(
        state->executor_, socket, state->config_.request_timeout_);
    if (co_await serve_request(*state, *socket))
        ++state->counters_.requests_answered_;
    else
        ++state->counters_.requests_refused_;
    --state->connections_;
}


base::problem unavailable(const char* message)
{
    return {base::problem_code::unavailable, message, "ask another daemon"};
}


asio::awaitable<base::result<settings_reply>> exchange(
    service_state& state,
    asio::ip::tcp::socket& socket,
    membership::endpoint peer,
    settings_request request)
{
    const auto [failure] =
        co_await socket.async_connect(to_tcp(peer), AWAIT_TUPLE);
    if (failure || state.stopped_)
        co_return unavailable("connection to the peer failed");
    const wire::sealed_message sent = state.sealer_.seal_numbered(
        wire::channel::request, to_string(peer), wire::encode_body(request));
    if (!co_await write_frame(socket, sent.bytes_))
        co_return unavailable("request could not be sent to the peer");
    const auto sealed = co_await read_frame(socket, wire::MAX_FRAME_BYTES);
    if (!sealed || state.stopped_)
        co_return unavailable(
            "peer closed the connection without a valid reply");
    const auto& self = state.config_.self_;
    const auto result = state.opener_.open(
        *sealed,
        reply_audience(self.id_, self.incarnation_.value_, sent.sequence_),
        wire::MAX_FRAME_BYTES,
        base::boot_clock::now());
    const auto* const envelope = std::get_if<wire::envelope>(&result);
    if (envelope == nullptr || envelope->channel_ != wire::channel::reply)
        co_return base::problem{
            base::problem_code::corrupt,
            "reply from the peer failed authentication",
            {}};
    const auto reply = wire::decode_body<settings_reply>(envelope->body_);
    if (!reply)
        co_return base::problem{
            base::problem_code::corrupt,
            "reply from the peer is malformed",
            {}};
    co_return *reply;
}

} // namespace

std::string reply_audience(
    const base::daemon_id& requester,
    std::uint64_t incarnation,
    std::uint64_t sequence)
{
    return requester.value_ + '/' + std::to_string(incarnation) + '/' +
           std::to_string(sequence);
}


asio::awaitable<void> accept_requests(state_ptr state)
{
    asio::steady_timer retry_timer(state->executor_);
    while (!state->stopped_) {
        auto [failure, socket] =
            co_await state->acceptor_.async_accept(AWAIT_TUPLE);
        if (state->stopped_)
            co_return;
        const bool full =
            state->connections_ >= state->config_.max_connections_;
        if (!failure && !full) {
            asio::co_spawn(
                state->executor_,
                serve_connection(
                    state,
                    std::make_shared<asio::ip::tcp::socket>(std::move(socket))),
                asio::detached);
            continue;
        }
        ++state->counters_.requests_refused_;
        if (failure) {
            retry_timer.expires_after(ACCEPT_RETRY_DELAY);
            co_await retry_timer.async_wait(AWAIT_TUPLE);
        }
    }
}


asio::awaitable<base::result<settings_reply>> request_settings(
    state_ptr state, membership::endpoint peer, settings_request request)
{
    const auto socket =
        std::make_shared<asio::ip::tcp::socket>(state->executor_);
    const deadline request_deadline(
        state->executor_, socket, state->config_.request_timeout_);
    auto result = co_await exchange(*state, *socket, peer, request);
    if (request_deadline.expired() && !base::ok(result))
        co_return base::problem{
            base::problem_code::timeout,
            "peer did not reply before the timeout",
            "ask another daemon"};
    co_return result;
}

} // namespace monsoondock::peer::pvt

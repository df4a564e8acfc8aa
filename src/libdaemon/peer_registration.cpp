#include "peer_registration.hpp"

#include "daemon_record.hpp"

#include <monsoondock/base/event_line.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::string_view DAEMON_PREFIX = "daemons/";
constexpr std::chrono::milliseconds INITIAL_BACKOFF{500};
constexpr std::chrono::milliseconds MAX_BACKOFF{5000};


std::string own_key(const control_state& state)
{
    return std::string(DAEMON_PREFIX) + state.config_.daemon_.value_;
}


void add_daemon_object(
    const control_state& state,
    registered_daemons& all,
    const platform::object& object)
{
    const auto parsed = parse_daemon_record(object.value_);
    const bool own = object.key_ == own_key(state);
    if (own)
        all.own_version_ = object.version_;
    if (!base::ok(parsed))
        return;
    const daemon_record& record = base::value(parsed);
    if (own) {
        all.own_incarnation_ = record.incarnation_;
        return;
    }
    const auto address = membership::parse_endpoint(record.peer_address_);
    if (address)
        all.seeds_.push_back(*address);
}


std::string own_record(const control_state& state, membership::incarnation own)
{
    const auto& config = state.config_;
    return to_json(
        {settings::to_string(config.caller_address_),
         settings::to_string(config.peer_address_),
         config.data_centre_,
         config.region_,
         own});
}


/// Tries once to write the own object. Returns true when no retry is needed.
asio::awaitable<bool>
write_own_record(control_state& state, membership::incarnation own)
{
    const auto all = co_await read_registered_daemons(state);
    if (!all)
        co_return false;
    if (all->own_version_ && all->own_incarnation_ >= own)
        co_return true;
    platform::write_condition condition = platform::if_absent{};
    if (all->own_version_)
        condition = platform::if_version{*all->own_version_};
    const auto outcome = co_await state.store_.put(
        own_key(state), own_record(state, own), condition);
    // After a lost reply, the read of the next attempt shows whether the write
    // took effect.
    co_return std::holds_alternative<platform::written>(outcome);
}


asio::awaitable<void>
sleep_with_jitter(control_state& state, std::chrono::milliseconds backoff)
{
    std::uniform_int_distribution<std::int64_t> jitter(
        backoff.count() / 2, backoff.count());
    asio::steady_timer timer(
        state.context_, std::chrono::milliseconds(jitter(state.random_)));
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

asio::awaitable<std::optional<registered_daemons>>
read_registered_daemons(control_state& state)
{
    const auto listed = co_await state.store_.list(std::string(DAEMON_PREFIX));
    if (!base::ok(listed))
        co_return std::nullopt;
    registered_daemons all;
    for (const platform::object& object : base::value(listed).objects_)
        add_daemon_object(state, all, object);
    co_return all;
}


asio::awaitable<void>
register_daemon(control_state& state, membership::incarnation own)
{
    std::chrono::milliseconds backoff = INITIAL_BACKOFF;
    while (!co_await write_own_record(state, own)) {
        co_await sleep_with_jitter(state, backoff);
        backoff = std::min(backoff * 2, MAX_BACKOFF);
    }
    base::event_line("registered").field("incarnation", own.value_);
}


membership::incarnation next_incarnation(membership::incarnation earlier)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    const auto from_clock = static_cast<std::uint64_t>(std::max<long>(ms, 1));
    return {std::max(earlier.value_ + 1, from_clock)};
}

} // namespace monsoondock::daemon

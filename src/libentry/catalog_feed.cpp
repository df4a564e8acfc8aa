#include "control.hpp"
#include "page_client.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/retry_delay.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds watch_time{20000};
// Well below the time within which a newer configuration must be in force
// after an outage; peers tell of it earlier in most cases.
constexpr base::retry_bounds store_retry{150ms, 1000ms};
constexpr std::chrono::milliseconds peer_timeout{500};
// The store's own watch delivers within this time when it works.
constexpr std::chrono::milliseconds catch_up_period{200};


void take_object(control& c, const platform::object& o)
{
    if (o.key_ == c.adapter_.catalog_key_)
        take_catalog(c, o.value_, "store");
}


// Reads the present configuration; returns the version to watch from.
asio::awaitable<std::optional<platform::version>> read_catalogs(control& c)
{
    const auto listed = co_await c.store_.list(c.adapter_.catalog_prefix_);
    note_store(c, base::ok(listed));
    if (!base::ok(listed))
        co_return std::nullopt;
    for (const platform::object& o : base::value(listed).objects_)
        take_object(c, o);
    co_return base::value(listed).version_;
}


asio::awaitable<void> watch_catalog(control& c, platform::version from)
{
    for (;;) {
        const auto batch = co_await c.store_.watch(
            c.adapter_.catalog_prefix_, from, watch_time);
        note_store(c, base::ok(batch));
        if (!base::ok(batch))
            co_return;
        for (const platform::change& change : base::value(batch).changes_) {
            if (!change.deleted_)
                take_object(c, change.object_);
        }
        from = base::value(batch).next_;
    }
}

std::uint64_t version_in_force(const control& c)
{
    return c.catalog_.catalog_ == nullptr ? 0 : c.catalog_.catalog_->version_;
}


// Returns a live peer that has the newest configuration, when it is newer
// than the own one.
std::optional<membership::endpoint> newer_peer(const control& c)
{
    std::uint64_t best = version_in_force(c);
    std::optional<membership::endpoint> peer;
    for (const auto& [id, member] : c.node_.members()) {
        const membership::member_record& r = member.record_;
        if (r.state_ == membership::member_state::dead ||
            r.status_.settings_revision_ <= best)
            continue;
        best = r.status_.settings_revision_;
        peer = r.peer_;
    }
    return peer;
}

} // namespace

bool take_catalog(control& c, const std::string& text, std::string_view source)
{
    auto read = c.adapter_.parse_catalog_(text);
    if (!base::ok(read)) {
        base::event_line("settings_unreadable", base::severity::error)
            .field("source", source)
            .field("reason", base::to_string(base::error(read)));
        return false;
    }
    auto next =
        std::make_shared<catalog::catalog>(base::value(std::move(read)));
    const std::uint64_t have = version_in_force(c);
    if (next->version_ <= have)
        return false;
    base::event_line("settings_in_force")
        .field("version", next->version_)
        .field("before", have)
        .field("source", source)
        .field("routes", next->routes_.size());
    c.catalog_ = {std::move(next), text};
    publish_status(c);
    publish_view(c);
    return true;
}


asio::awaitable<void> run_catalog_feed(control& c)
{
    unsigned failures = 0;
    for (;;) {
        const auto from = co_await read_catalogs(c);
        failures = from ? 0 : failures + 1;
        if (from)
            co_await watch_catalog(c, *from);
        co_await sleep_for(
            c, base::retry_delay(failures, store_retry, draw(c)));
    }
}


asio::awaitable<void> run_catalog_catch_up(control& c)
{
    for (;;) {
        co_await sleep_for(c, catch_up_period);
        const auto peer = newer_peer(c);
        if (!peer)
            continue;
        const auto text = co_await get_page(
            c.context_,
            {asio::ip::address_v4(peer->address_), peer->port_},
            settings_page,
            peer_timeout);
        if (text)
            take_catalog(c, *text, "peer");
        else
            base::event_line("peer_settings_failed", base::severity::warning)
                .field("peer", membership::to_string(*peer));
    }
}

} // namespace monsoondock::entry::pvt

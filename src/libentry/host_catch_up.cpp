#include "control.hpp"
#include "page_client.hpp"

#include <monsoondock/base/event_line.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds catch_up_period{400};
constexpr std::chrono::milliseconds peer_timeout{500};


// Returns the leader while it lives, else any live peer.
std::optional<membership::endpoint> choose_peer(control& c)
{
    std::vector<membership::endpoint> live;
    for (const auto& [id, member] : c.node_.members()) {
        if (member.record_.state_ != membership::member_state::alive)
            continue;
        if (id == c.leader_.leader_)
            return member.record_.peer_;
        live.push_back(member.record_.peer_);
    }
    if (live.empty())
        return std::nullopt;
    return live[c.random_() % live.size()];
}


std::optional<platform::listing> parse_hosts(const std::string& text)
{
    try {
        const json::value parsed = json::parse(text);
        const json::object& o = parsed.as_object();
        platform::listing list;
        list.version_ = {o.at("seen").to_number<std::uint64_t>()};
        for (const json::value& v : o.at("entries").as_array()) {
            const json::object& e = v.as_object();
            list.objects_.push_back(
                {std::string(e.at("key").as_string()),
                 {e.at("version").to_number<std::uint64_t>()},
                 std::string(e.at("value").as_string())});
        }
        return list;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::string write_hosts(const control& c)
{
    json::array entries;
    for (const auto& [id, entry] : c.hosts_.entries_)
        entries.push_back(json::object{
            {"key", entry.key_},
            {"version", entry.version_.value_},
            {"value", entry.value_}});
    return json::serialize(json::object{
        {"seen", c.hosts_.seen_.value_}, {"entries", std::move(entries)}});
}


asio::awaitable<void> run_host_catch_up(control& c)
{
    for (;;) {
        co_await sleep_for(c, catch_up_period);
        const auto peer = c.store_failed_ ? choose_peer(c) : std::nullopt;
        if (!peer)
            continue;
        const auto text = co_await get_page(
            c.context_,
            {asio::ip::address_v4(peer->address_), peer->port_},
            hosts_page,
            peer_timeout);
        const auto list = text ? parse_hosts(*text) : std::nullopt;
        if (!list) {
            base::event_line("peer_hosts_failed", base::severity::warning)
                .field("peer", membership::to_string(*peer));
            continue;
        }
        if (c.store_failed_)
            take_hosts(c, *list);
    }
}

} // namespace monsoondock::entry::pvt

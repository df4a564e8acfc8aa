#include "host_probes.hpp"

#include "control_plane.hpp"
#include "http_call.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

// Number of other hosts that are probed to tell a failed host from cut links.
constexpr std::size_t compared_hosts = 3;


const char* to_string(probe_cause cause)
{
    switch (cause) {
    case probe_cause::own:
        return "own";
    case probe_cause::asked:
        return "asked";
    case probe_cause::comparison:
        break;
    }
    return "comparison";
}


asio::awaitable<bool>
connect_to(control_plane& c, base::host_id id, probe_cause cause)
{
    const auto found = c.hosts_.hosts_.find(id);
    if (found == c.hosts_.hosts_.end())
        co_return false;
    const auto address = settings::parse_socket_address(found->second.address_);
    if (!address)
        co_return false;
    ++c.links_.probes_;
    c.metrics_.add(metrics::counter::link_probes, {"none", to_string(cause)});
    const bool reached = co_await can_connect(
        c.context_,
        {asio::ip::make_address(address->ip_), address->port_},
        probe_timeout);
    if (reached)
        c.links_.table_.record_reached(id, base::boot_clock::now());
    co_return reached;
}

} // namespace

asio::awaitable<bool>
probe(control_plane& c, base::host_id id, probe_cause cause)
{
    const auto under_way = c.links_.probes_under_way_.find(id);
    if (under_way != c.links_.probes_under_way_.end()) {
        const std::shared_ptr<host_probe> shared = under_way->second;
        co_await shared->ended_.async_wait(base::await_tuple);
        co_return shared->reached_;
    }
    const auto started = std::make_shared<host_probe>(c.context_);
    c.links_.probes_under_way_[id] = started;
    started->reached_ = co_await connect_to(c, id, cause);
    c.links_.probes_under_way_.erase(id);
    started->ended_.cancel();
    co_return started->reached_;
}


void probe_others(
    control_plane& c, const base::host_id& host, base::time_point since)
{
    if (c.links_.table_.reached_other_since(host, since) ||
        c.links_.compared_at_ >= since)
        return;
    c.links_.compared_at_ = base::boot_clock::now();
    std::vector<base::host_id> others;
    for (const auto& [id, info] : c.hosts_.hosts_) {
        if (id != host && !info.draining_)
            others.push_back(id);
    }
    std::shuffle(others.begin(), others.end(), c.random_);
    others.resize(std::min(others.size(), compared_hosts));
    for (base::host_id& id : others)
        asio::co_spawn(
            c.context_,
            probe(c, std::move(id), probe_cause::comparison),
            asio::detached);
}

} // namespace monsoondock::entry::pvt

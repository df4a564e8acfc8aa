#include "member_views.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace monsoondock::daemon {

namespace json = boost::json;
using membership::member_record;

namespace {

traffic::entry_distance
distance(const member_record& self, const member_record& other)
{
    if (other.data_centre_ == self.data_centre_)
        return traffic::entry_distance::same_data_centre;
    if (other.region_ == self.region_)
        return traffic::entry_distance::same_region;
    return traffic::entry_distance::other_region;
}


bool accepts_callers(const member_record& record)
{
    return record.state_ == membership::member_state::alive &&
           record.status_.entry_mode_ == membership::entry_mode::open;
}


json::object member_json(const member_record& record)
{
    const membership::member_status& status = record.status_;
    return {
        {"daemon", record.id_.value_},
        {"state", to_string(record.state_)},
        {"entry", to_string(status.entry_mode_)},
        {"settings_revision", status.settings_revision_},
        {"load_permille", status.load_permille_},
        {"region", record.region_.value_},
        {"data_centre", record.data_centre_.value_},
        {"caller_address", to_string(record.caller_)},
        {"peer_address", to_string(record.peer_)},
        {"incarnation", record.incarnation_.value_}};
}


json::object totals_json(const membership::node_counters& counters)
{
    return {
        {"probes", counters.probes_},
        {"probes_failed", counters.probes_failed_},
        {"refutations", counters.refutations_},
        {"pauses", counters.pauses_},
        {"datagrams_malformed", counters.datagrams_malformed_}};
}


json::object totals_json(const peer::peer_counters& counters)
{
    return {
        {"datagrams_sent", counters.datagrams_sent_},
        {"datagrams_received", counters.datagrams_received_},
        {"bytes_sent", counters.bytes_sent_},
        {"bytes_received", counters.bytes_received_},
        {"send_failures", counters.send_failures_},
        {"requests_answered", counters.requests_answered_},
        {"requests_refused", counters.requests_refused_}};
}


json::object drops_json(const wire::drop_counters& drops)
{
    json::object all;
    for (std::size_t i = 0; i < wire::DROP_REASON_COUNT; ++i) {
        const auto reason = static_cast<wire::drop_reason>(i);
        all[to_string(reason)] = drops.of(reason);
    }
    return all;
}

} // namespace

std::vector<traffic::entry_host_row>
open_entry_hosts(const membership::node& node)
{
    const member_record& self = node.self();
    std::vector<traffic::entry_host_row> rows;
    if (accepts_callers(self))
        rows.push_back(
            {to_string(self.caller_),
             traffic::entry_distance::same_data_centre});
    for (const auto& [id, other] : node.members()) {
        const member_record& record = other.record_;
        if (accepts_callers(record))
            rows.push_back({to_string(record.caller_), distance(self, record)});
    }
    return rows;
}


std::string
members_page(const membership::node& node, const peer::peer_counters& sockets)
{
    json::array rows;
    rows.push_back(member_json(node.self()));
    for (const auto& [id, other] : node.members())
        rows.push_back(member_json(other.record_));
    const json::object page{
        {"self", node.self().id_.value_},
        {"highest_settings_revision", node.highest_revision()},
        {"members", std::move(rows)},
        {"totals", totals_json(node.counters())},
        {"sockets", totals_json(sockets)},
        {"dropped", drops_json(sockets.drops_)}};
    return json::serialize(page);
}

} // namespace monsoondock::daemon

#include "leader_record.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <exception>

namespace monsoondock::entry::pvt {

namespace json = boost::json;

namespace {

json::array to_json(const crashes::quarantine_list& list)
{
    json::array result;
    for (const crashes::quarantined_part& q : list)
        result.push_back(json::object{
            {"part", crashes::to_text({q.part_})},
            {"ms", q.remaining_.count()}});
    return result;
}


// Throws when the list is malformed.
crashes::quarantine_list parse_quarantined(const json::array& list)
{
    crashes::quarantine_list result;
    for (const json::value& v : list) {
        const json::object& o = v.as_object();
        const auto& text = o.at("part").as_string();
        result.push_back(
            {crashes::parse_part({text.data(), text.size()}),
             std::chrono::milliseconds(o.at("ms").to_number<std::int64_t>())});
    }
    return result;
}

} // namespace

std::string to_text(const leader_record& r)
{
    return json::serialize(json::object{
        {"daemon", r.daemon_},
        {"peer", r.peer_address_},
        {"term", r.term_},
        {"epochs_below", r.epoch_limit_},
        {"stamp", r.nonce_},
        {"era", r.era_},
        {"crashing_parts", to_json(r.quarantined_)}});
}


std::optional<leader_record> parse_record(const std::string& text)
{
    try {
        const json::value v = json::parse(text);
        const json::object& o = v.as_object();
        const auto* peer = o.if_contains("peer");
        const auto* era = o.if_contains("era");
        const auto* parts = o.if_contains("crashing_parts");
        return leader_record{
            std::string(o.at("daemon").as_string()),
            std::string(peer == nullptr ? "" : peer->as_string()),
            o.at("term").to_number<std::uint64_t>(),
            o.at("epochs_below").to_number<std::uint64_t>(),
            o.at("stamp").to_number<std::uint64_t>(),
            era == nullptr ? 0 : era->to_number<std::uint64_t>(),
            parts == nullptr ? crashes::quarantine_list()
                             : parse_quarantined(parts->as_array())};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace monsoondock::entry::pvt

#include "peer_message.hpp"

#include <stdexcept>

namespace monsoondock::entry::pvt {

namespace {

constexpr std::size_t max_name_bytes = 255;
constexpr std::size_t max_membership_bytes = 1200;
constexpr std::size_t max_loads = 2000;
constexpr std::size_t max_changes = 100;
constexpr std::size_t max_parts = 1024;
constexpr std::size_t max_limits = 1000;
constexpr std::size_t max_value_bytes = 4096;
// The largest datagram less the header of the forwarding message.
constexpr std::size_t max_forwarded_bytes = 65000;


void put(wire::body_writer& out, const load_table& loads)
{
    wire::write_count(out, loads.size());
    for (const auto& [host, count] : loads) {
        wire::write_text(out, host.value_);
        out(static_cast<std::uint32_t>(count));
    }
}


void get(wire::body_reader& in, load_table& loads)
{
    const std::size_t count = wire::read_count(in, max_loads);
    for (std::size_t i = 0; i < count; ++i) {
        base::host_id host;
        std::uint32_t load = 0;
        wire::read_text(in, host.value_, max_name_bytes);
        in(load);
        loads[host] = load;
    }
}


void put(wire::body_writer& out, const membership_message& m)
{
    wire::write_text(out, m.body_);
}


void put(wire::body_writer& out, const host_log_position& p)
{
    wire::write_text(out, p.source_);
    out(p.sequence_);
}


void get(wire::body_reader& in, host_log_position& p)
{
    wire::read_text(in, p.source_, max_name_bytes);
    in(p.sequence_);
}


void put(wire::body_writer& out, const leader_heartbeat& m)
{
    wire::write_text(out, m.leader_.value_);
    out(m.term_, static_cast<std::int64_t>(m.store_contact_age_.count()));
    put(out, m.position_);
    out(m.relay_);
}


void put(wire::body_writer& out, const upstream_suspected_message& m)
{
    wire::write_text(out, m.host_.value_);
    wire::write_text(out, m.failed_address_);
}


void put(wire::body_writer& out, const upstream_healthy_message& m)
{
    wire::write_text(out, m.host_.value_);
}


void put(wire::body_writer& out, const load_message& m)
{
    wire::write_text(out, m.sender_.value_);
    put(out, m.loads_);
}


void put(wire::body_writer& out, const data_centre_load_message& m)
{
    wire::write_text(out, m.data_centre_.value_);
    put(out, m.loads_);
}


void put(wire::body_writer& out, const load_sum_message& m)
{
    put(out, m.own_data_centre_);
    put(out, m.other_data_centres_);
}


void put(wire::body_writer& out, const forwarded_message& m)
{
    wire::write_text(out, m.body_);
}


void put(wire::body_writer& out, const crash_message& m)
{
    out(m.report_.fingerprint_, m.report_.completed_);
    wire::write_text(out, m.report_.host_.value_);
}


void put(wire::body_writer& out, const upstream_query_message& m)
{
    wire::write_text(out, m.host_.value_);
}


void put(wire::body_writer& out, const demand_message& m)
{
    wire::write_text(out, m.sender_.value_);
    out(static_cast<std::int64_t>(m.interval_.count()));
    wire::write_count(out, m.demand_.size());
    for (const auto& [deployment_and_model, demand] : m.demand_) {
        wire::write_text(out, deployment_and_model.first.value_);
        wire::write_text(out, deployment_and_model.second);
        out(demand.requests_, demand.prompt_tokens_, demand.answer_tokens_);
    }
}


void get(wire::body_reader& in, membership_message& m)
{
    wire::read_text(in, m.body_, max_membership_bytes);
}


void get(wire::body_reader& in, leader_heartbeat& m)
{
    wire::read_text(in, m.leader_.value_, max_name_bytes);
    std::int64_t store_contact_age_ms = 0;
    in(m.term_, store_contact_age_ms);
    m.store_contact_age_ = std::chrono::milliseconds(store_contact_age_ms);
    get(in, m.position_);
    in(m.relay_);
}


void get(wire::body_reader& in, upstream_suspected_message& m)
{
    wire::read_text(in, m.host_.value_, max_name_bytes);
    wire::read_text(in, m.failed_address_, max_name_bytes);
}


void get(wire::body_reader& in, upstream_healthy_message& m)
{
    wire::read_text(in, m.host_.value_, max_name_bytes);
}


void get(wire::body_reader& in, load_message& m)
{
    wire::read_text(in, m.sender_.value_, max_name_bytes);
    get(in, m.loads_);
}


void get(wire::body_reader& in, data_centre_load_message& m)
{
    wire::read_text(in, m.data_centre_.value_, max_name_bytes);
    get(in, m.loads_);
}


void get(wire::body_reader& in, load_sum_message& m)
{
    get(in, m.own_data_centre_);
    get(in, m.other_data_centres_);
}


void get(wire::body_reader& in, forwarded_message& m)
{
    wire::read_text(in, m.body_, max_forwarded_bytes);
}


void get(wire::body_reader& in, crash_message& m)
{
    in(m.report_.fingerprint_, m.report_.completed_);
    wire::read_text(in, m.report_.host_.value_, max_name_bytes);
}


void get(wire::body_reader& in, upstream_query_message& m)
{
    wire::read_text(in, m.host_.value_, max_name_bytes);
}


void get(wire::body_reader& in, demand_message& m)
{
    wire::read_text(in, m.sender_.value_, max_name_bytes);
    std::int64_t ms = 0;
    in(ms);
    m.interval_ = std::chrono::milliseconds(ms);
    const std::size_t count = wire::read_count(in, max_loads);
    for (std::size_t i = 0; i < count; ++i) {
        base::deployment_id deployment;
        std::string model;
        wire::read_text(in, deployment.value_, max_name_bytes);
        wire::read_text(in, model, max_name_bytes);
        auto& demand = m.demand_[{deployment, model}];
        in(demand.requests_, demand.prompt_tokens_, demand.answer_tokens_);
    }
}


void put(wire::body_writer& out, const host_unreachable_message& m)
{
    wire::write_text(out, m.host_.value_);
}


void get(wire::body_reader& in, host_unreachable_message& m)
{
    wire::read_text(in, m.host_.value_, max_name_bytes);
}


void put(wire::body_writer& out, const host_leaving_message& m)
{
    wire::write_text(out, m.host_.value_);
    out(m.process_start_ms_);
}


void get(wire::body_reader& in, host_leaving_message& m)
{
    wire::read_text(in, m.host_.value_, max_name_bytes);
    in(m.process_start_ms_);
}


void put(wire::body_writer&, const relist_hosts_message&) {}


void get(wire::body_reader&, relist_hosts_message&) {}


void put(wire::body_writer& out, const host_changes_message& m)
{
    out(m.term_);
    put(out, m.position_);
    wire::write_count(out, m.changes_.size());
    for (const platform::change& c : m.changes_) {
        wire::write_text(out, c.object_.key_);
        wire::write_text(out, c.object_.value_);
        out(c.object_.version_.value_, c.object_.version_.era_, c.deleted_);
    }
}


void get(wire::body_reader& in, host_changes_message& m)
{
    in(m.term_);
    get(in, m.position_);
    const std::size_t count = wire::read_count(in, max_changes);
    for (std::size_t i = 0; i < count; ++i) {
        platform::change c;
        wire::read_text(in, c.object_.key_, max_name_bytes);
        wire::read_text(in, c.object_.value_, max_value_bytes);
        in(c.object_.version_.value_, c.object_.version_.era_, c.deleted_);
        m.changes_.push_back(std::move(c));
    }
}


void put(wire::body_writer& out, const part_report_message& m)
{
    const crashes::part_report& r = m.report_;
    wire::write_count(out, r.quarantined_.size());
    for (const crashes::quarantined_part& q : r.quarantined_)
        out(q.part_, static_cast<std::int64_t>(q.remaining_.count()));
    wire::write_count(out, r.crashes_.size());
    for (const crashes::suspected_crash& c : r.crashes_)
        out(c.part_,
            c.host_run_,
            c.request_,
            c.begun_,
            static_cast<std::int64_t>(c.age_.count()));
    wire::write_count(out, r.survivors_.size());
    for (const crashes::prompt_part part : r.survivors_)
        out(part);
}


void get(wire::body_reader& in, part_report_message& m)
{
    crashes::part_report& r = m.report_;
    std::int64_t ms = 0;
    r.quarantined_.resize(wire::read_count(in, max_parts));
    for (crashes::quarantined_part& q : r.quarantined_) {
        in(q.part_, ms);
        q.remaining_ = std::chrono::milliseconds(ms);
    }
    r.crashes_.resize(wire::read_count(in, max_parts));
    for (crashes::suspected_crash& c : r.crashes_) {
        in(c.part_, c.host_run_, c.request_, c.begun_, ms);
        c.age_ = std::chrono::milliseconds(ms);
    }
    r.survivors_.resize(wire::read_count(in, max_parts));
    for (crashes::prompt_part& part : r.survivors_)
        in(part);
}


void put(wire::body_writer& out, const host_limits_message& m)
{
    wire::write_count(out, m.limits_.size());
    for (const relay::host_limit_report& r : m.limits_) {
        wire::write_text(out, r.host_.value_);
        out(r.process_start_ms_,
            r.per_second_,
            static_cast<std::int64_t>(r.age_.count()));
    }
}


void get(wire::body_reader& in, host_limits_message& m)
{
    m.limits_.resize(wire::read_count(in, max_limits));
    for (relay::host_limit_report& r : m.limits_) {
        std::int64_t ms = 0;
        wire::read_text(in, r.host_.value_, max_name_bytes);
        in(r.process_start_ms_, r.per_second_, ms);
        r.age_ = std::chrono::milliseconds(ms);
    }
}


void put(wire::body_writer& out, const host_query_message& m)
{
    out(m.number_);
    wire::write_text(out, m.host_.value_);
}


void get(wire::body_reader& in, host_query_message& m)
{
    in(m.number_);
    wire::read_text(in, m.host_.value_, max_name_bytes);
}


void put(wire::body_writer& out, const host_finding_message& m)
{
    out(m.number_, static_cast<std::uint8_t>(m.finding_));
}


void get(wire::body_reader& in, host_finding_message& m)
{
    std::uint8_t finding = 0;
    in(m.number_, finding);
    if (finding > static_cast<std::uint8_t>(paths::peer_finding::unknown))
        throw std::range_error("unknown finding");
    m.finding_ = static_cast<paths::peer_finding>(finding);
}


void put(wire::body_writer& out, const group_check_message& m)
{
    wire::write_text(out, m.head_.value_);
}


void get(wire::body_reader& in, group_check_message& m)
{
    wire::read_text(in, m.head_.value_, max_name_bytes);
}


void put(wire::body_writer& out, const evacuations_message& m)
{
    out(m.set_.version_.value_, m.set_.version_.era_);
    wire::write_count(out, m.set_.data_centres_.size());
    for (const base::data_centre_id& id : m.set_.data_centres_)
        wire::write_text(out, id.value_);
}


void get(wire::body_reader& in, evacuations_message& m)
{
    in(m.set_.version_.value_, m.set_.version_.era_);
    const std::size_t count = wire::read_count(in, max_sent_evacuations);
    for (std::size_t i = 0; i < count; ++i) {
        base::data_centre_id id;
        wire::read_text(in, id.value_, max_data_centre_name_bytes);
        m.set_.data_centres_.insert(std::move(id));
    }
}


template <std::size_t Index = 0>
peer_message get_alternative(wire::body_reader& in, std::size_t index)
{
    if constexpr (Index == std::variant_size_v<peer_message>) {
        throw std::range_error("unknown message type");
    } else {
        if (index != Index)
            return get_alternative<Index + 1>(in, index);
        peer_message m(std::in_place_index<Index>);
        get(in, std::get<Index>(m));
        return m;
    }
}

} // namespace


void write(wire::body_writer& out, const peer_message& m)
{
    out(static_cast<std::uint8_t>(m.index()));
    std::visit([&](const auto& alternative) { put(out, alternative); }, m);
}


void read(wire::body_reader& in, peer_message& m)
{
    std::uint8_t index = 0;
    in(index);
    m = get_alternative(in, index);
}


std::string encode(const peer_message& m)
{
    std::ostringstream stream;
    {
        wire::body_writer out(stream);
        write(out, m);
    }
    return std::move(stream).str();
}


std::optional<peer_message> decode(const std::string& bytes)
{
    try {
        std::istringstream stream(bytes);
        wire::body_reader in(stream);
        peer_message m;
        read(in, m);
        return m;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace monsoondock::entry::pvt

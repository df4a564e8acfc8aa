#include <monsoondock/groups/health_codec.hpp>

#include <algorithm>

namespace monsoondock::groups {

namespace {

constexpr std::uint8_t REQUEST_KIND = 1;
constexpr std::uint8_t REPLY_KIND = 2;


void write_item(wire::body_writer& out, std::uint64_t key)
{
    out(key);
}


void write_item(wire::body_writer& out, const group_health& entry)
{
    out(entry.key_, entry.age_ms_, entry.missing_);
}


void write_item(wire::body_writer& out, const lease_claim& claim)
{
    out(claim.domain_, claim.term_);
}


void write_item(wire::body_writer& out, const group_limit& limit)
{
    out(limit.key_, limit.per_second_, limit.age_ms_);
}


void read_item(wire::body_reader& in, std::uint64_t& key)
{
    in(key);
}


void read_item(wire::body_reader& in, group_health& entry)
{
    in(entry.key_, entry.age_ms_, entry.missing_);
}


void read_item(wire::body_reader& in, lease_claim& claim)
{
    in(claim.domain_, claim.term_);
}


void read_item(wire::body_reader& in, group_limit& limit)
{
    in(limit.key_, limit.per_second_, limit.age_ms_);
}


template <class Item>
void write_list(
    wire::body_writer& out, const std::vector<Item>& items, std::size_t limit)
{
    const std::size_t count = std::min(items.size(), limit);
    wire::write_count(out, count);
    for (std::size_t i = 0; i < count; ++i)
        write_item(out, items[i]);
}


template <class Item>
void read_list(
    wire::body_reader& in, std::vector<Item>& items, std::size_t limit)
{
    items.resize(wire::read_count(in, limit));
    for (Item& item : items)
        read_item(in, item);
}


health_request read_request(wire::body_reader& in)
{
    health_request request;
    in(request.stamp_);
    read_list(in, request.groups_, MAX_HEALTH_GROUPS);
    return request;
}


health_reply read_reply(wire::body_reader& in)
{
    health_reply reply;
    in(reply.stamp_);
    read_list(in, reply.entries_, MAX_HEALTH_GROUPS);
    read_list(in, reply.leases_, MAX_LEASE_CLAIMS);
    read_list(in, reply.limits_, MAX_GROUP_LIMITS);
    return reply;
}

} // namespace

void write(wire::body_writer& out, const health_message& message)
{
    if (const auto* request = std::get_if<health_request>(&message)) {
        out(REQUEST_KIND, request->stamp_);
        write_list(out, request->groups_, MAX_HEALTH_GROUPS);
        return;
    }
    const auto& reply = std::get<health_reply>(message);
    out(REPLY_KIND, reply.stamp_);
    write_list(out, reply.entries_, MAX_HEALTH_GROUPS);
    write_list(out, reply.leases_, MAX_LEASE_CLAIMS);
    write_list(out, reply.limits_, MAX_GROUP_LIMITS);
}


void read(wire::body_reader& in, health_message& message)
{
    std::uint8_t kind = 0;
    in(kind);
    if (kind == REQUEST_KIND)
        message = read_request(in);
    else if (kind == REPLY_KIND)
        message = read_reply(in);
    else
        throw std::range_error("unknown kind of health message");
}

} // namespace monsoondock::groups

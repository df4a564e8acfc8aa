#include <monsoondock/groups/group_timing.hpp>
#include <monsoondock/groups/health_codec.hpp>
#include <monsoondock/groups/pacing.hpp>
#include <monsoondock/wire/limits.hpp>
#include <monsoondock/wire/sealer.hpp>

#include <criterion/criterion.h>

#include <cstdio>

using namespace monsoondock;
using namespace monsoondock::groups;

namespace {

// Design size: 470 daemons, 15 data centres, 330 groups of 16 hosts.
constexpr std::size_t groups_per_data_centre = 22;
constexpr std::size_t daemons_per_data_centre = 31;
constexpr std::size_t data_centres_per_region = 3;
constexpr std::size_t ip_udp_header_bytes = 28;


health_reply make_reply(std::size_t groups, std::size_t leases)
{
    health_reply reply;
    reply.stamp_ = 123456789012345ULL;
    for (std::size_t i = 0; i < groups; ++i)
        reply.entries_.push_back({0x9f0a80e724ffc648ULL + i, 1500, 0});
    for (std::size_t i = 0; i < leases; ++i)
        reply.leases_.push_back({0x3501f27618c8e7b8ULL + i, 7});
    return reply;
}


std::size_t datagram_bytes(const health_message& message)
{
    wire::sealer sealer(
        base::daemon_id{"entry-heredia-31"},
        1,
        {{1, std::string(32, 'k')}, std::nullopt});
    return ip_udp_header_bytes + sealer
                                     .seal(
                                         wire::channel::group_health,
                                         "10.0.0.31:7946",
                                         wire::encode_body(message))
                                     .size();
}

} // namespace


Test(health_codec, messages_round_trip)
{
    const health_message request = health_request{42, {1, 2, 3}};
    const auto decoded_request =
        wire::decode_body<health_message>(wire::encode_body(request));
    cr_assert(
        decoded_request &&
        std::get<health_request>(*decoded_request).groups_.size() == 3);
    health_reply sent = make_reply(22, 2);
    sent.limits_ = {{7, 1.5, 20}, {8, 0, 900}};
    const health_message reply = sent;
    const auto decoded_reply =
        wire::decode_body<health_message>(wire::encode_body(reply));
    cr_assert(decoded_reply.has_value());
    const auto& decoded = std::get<health_reply>(*decoded_reply);
    cr_assert(decoded.entries_ == std::get<health_reply>(reply).entries_);
    cr_assert(decoded.leases_ == std::get<health_reply>(reply).leases_);
    cr_assert(decoded.limits_ == sent.limits_);
}


Test(health_codec, malformed_bodies_are_refused)
{
    const std::string body =
        wire::encode_body<health_message>(make_reply(5, 1));
    for (std::size_t length = 0; length < body.size(); ++length)
        cr_assert(!wire::decode_body<health_message>(body.substr(0, length)));
    cr_assert(!wire::decode_body<health_message>(body + "x"));
    std::string unknown = body;
    unknown[1] = 9;
    cr_assert(!wire::decode_body<health_message>(unknown));
    std::string too_long = body;
    too_long[10] = 65;
    cr_assert(!wire::decode_body<health_message>(too_long));
}


Test(health_codec, largest_reply_fits_a_datagram)
{
    health_reply reply =
        make_reply(MAX_HEALTH_GROUPS + 9, MAX_LEASE_CLAIMS + 9);
    reply.limits_.resize(MAX_GROUP_LIMITS + 9);
    const std::string body = wire::encode_body<health_message>(reply);
    cr_assert(
        body.size() + wire::MAX_ENVELOPE_OVERHEAD_BYTES <=
        wire::MAX_DATAGRAM_BYTES);
}


Test(health_codec, group_control_fits_the_bandwidth_budget_of_a_daemon)
{
    const group_timing timing;
    // Every daemon observes 2 x 5,300 / 470 hosts.
    const std::size_t probed = 2 * 5300 / 470 + 1;
    const auto probe_every = paced_interval(
        probed,
        PROBE_BYTES,
        PROBE_BYTES_PER_SECOND,
        timing.probe_interval_,
        timing.longest_probe_interval_);
    // The 22 groups have about 16 different preferred observers among 31
    // daemons; each other data centre of the region answers through one relay.
    const std::size_t local = datagram_bytes(health_request{1, {1}}) +
                              datagram_bytes(make_reply(2, 1));
    const std::size_t remote =
        datagram_bytes(health_request{1, {}}) +
        datagram_bytes(make_reply(groups_per_data_centre, 2));
    const std::size_t round =
        2 * (16 * local + (data_centres_per_region - 1) * remote);
    const auto ask_every = paced_interval(
        1,
        round,
        HEALTH_BYTES_PER_SECOND,
        timing.health_interval_,
        timing.longest_health_interval_);
    // For comparison, push: one datagram to each daemon of the data centre in
    // each interval.
    const std::size_t push = 2 * (daemons_per_data_centre - 1) *
                             (datagram_bytes(make_reply(2, 1)) + 16);
    const std::size_t probes = probed * PROBE_BYTES * 1000 /
                               static_cast<std::size_t>(probe_every.count());
    const std::size_t health_bytes =
        round * 1000 / static_cast<std::size_t>(ask_every.count());
    std::printf(
        "local request and reply %zu B, remote %zu B; probes every %lld ms: "
        "%zu B/s; pull every %lld ms: %zu B/s; push as often in the own data "
        "centre alone: %zu B/s against %zu B/s by pull\n",
        local,
        remote,
        static_cast<long long>(probe_every.count()),
        probes,
        static_cast<long long>(ask_every.count()),
        health_bytes,
        push * 1000 / static_cast<std::size_t>(ask_every.count()),
        2 * 16 * local * 1000 / static_cast<std::size_t>(ask_every.count()));
    cr_assert(probes + health_bytes < 6500);
    cr_assert(probe_every + ask_every < timing.dispatch_lease_);
}

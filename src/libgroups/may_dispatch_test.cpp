#include <monsoondock/groups/health_exchange.hpp>
#include <monsoondock/groups/may_dispatch.hpp>

#include <criterion/criterion.h>

#include <set>

using namespace monsoondock;
using namespace monsoondock::groups;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds lease = 6000ms;
const base::host_id h1{"h1"};
const base::host_id h2{"h2"};


base::time_point at(std::chrono::milliseconds t)
{
    return base::time_point(t);
}


group_view make_view()
{
    return group_view{
        base::group_id{"g"},
        base::deployment_id{"d"},
        base::generation{5},
        group_phase::serving,
        {{h1, "a1", true, false}, {h2, "a2", true, false}},
        false};
}


host_evidence ready(std::chrono::milliseconds observed_at, std::uint64_t g = 5)
{
    return host_evidence{
        base::group_id{"g"}, base::generation{g}, at(observed_at)};
}


std::string reason(
    const group_view& view,
    const evidence_table& evidence,
    std::chrono::milliseconds now)
{
    return reason_name(may_dispatch(view, evidence, at(now), lease));
}

} // namespace


Test(may_dispatch, needs_fresh_evidence_of_every_member)
{
    evidence_table evidence;
    evidence.record_ready(h1, ready(1000ms));
    cr_assert(reason(make_view(), evidence, 2000ms) == "member_unseen");
    evidence.record_ready(h2, ready(2000ms));
    cr_assert(reason(make_view(), evidence, 2000ms) == "allowed");
    cr_assert(reason(make_view(), evidence, 6999ms) == "allowed");
    cr_assert(reason(make_view(), evidence, 7000ms) == "member_lapsed");
}


Test(may_dispatch, gives_the_reason_for_each_refusal)
{
    evidence_table evidence;
    evidence.record_ready(h1, ready(1000ms));
    evidence.record_ready(h2, ready(1000ms));
    group_view view = make_view();
    view.members_[1].leaving_ = true;
    cr_assert(reason(view, evidence, 2000ms) == "member_leaving");
    view = make_view();
    view.members_[1].listed_ = false;
    cr_assert(reason(view, evidence, 2000ms) == "member_leaving");
    view = make_view();
    view.conflicting_ = true;
    cr_assert(reason(view, evidence, 2000ms) == "member_contested");
    for (const group_phase phase :
         {group_phase::forming, group_phase::retiring, group_phase::retired}) {
        view = make_view();
        view.phase_ = phase;
        cr_assert(reason(view, evidence, 2000ms) == "group_not_serving");
    }
    view = make_view();
    view.generation_ = base::generation{6};
    cr_assert(reason(view, evidence, 2000ms) == "member_unseen");
}


Test(evidence_table, failure_and_older_generation_remove_evidence)
{
    evidence_table evidence;
    evidence.record_ready(h1, ready(1000ms));
    evidence.invalidate_host(h1, at(1500ms));
    cr_assert(!evidence.last_ready(h1, make_view().id_, base::generation{5}));
    evidence.record_ready(h1, ready(1400ms));
    cr_assert(!evidence.last_ready(h1, make_view().id_, base::generation{5}));
    evidence.record_ready(h1, ready(1600ms));
    cr_assert(evidence.last_ready(h1, make_view().id_, base::generation{5}));
    host_report older;
    older.group_ = base::group_id{"old"};
    older.generation_ = base::generation{4};
    older.phase_ = engine_phase::ready;
    older.sent_at_ = at(1700ms);
    older.received_at_ = at(1710ms);
    evidence.record_report(h1, older);
    cr_assert(!evidence.last_ready(h1, make_view().id_, base::generation{5}));
}


Test(health_exchange, relayed_evidence_is_never_younger_than_its_source)
{
    evidence_table source;
    source.record_ready(h1, ready(1000ms));
    source.record_ready(h2, ready(1200ms));
    const group_health entry =
        make_group_health(make_view(), source, at(3000ms), lease);
    cr_assert(entry.age_ms_ == 2000 && entry.missing_ == 0);
    evidence_table received;
    apply_group_health(received, make_view(), entry, at(2900ms));
    const auto observed_at =
        received.last_ready(h2, make_view().id_, base::generation{5});
    cr_assert(observed_at && *observed_at == at(900ms));
}


Test(health_exchange, keys_of_short_names_differ)
{
    std::set<std::uint64_t> keys;
    for (std::uint64_t g = 1; g <= 200; ++g) {
        keys.insert(group_generation_key(
            base::group_id{"0-" + std::to_string(g)}, base::generation{g}));
        keys.insert(group_generation_key(
            base::group_id{"1-" + std::to_string(g)}, base::generation{g}));
    }
    cr_assert(keys.size() == 400);
}


Test(health_exchange, missing_members_get_no_evidence)
{
    evidence_table source;
    source.record_ready(h1, ready(1000ms));
    const group_health entry =
        make_group_health(make_view(), source, at(3000ms), lease);
    cr_assert(entry.missing_ == 2);
    evidence_table received;
    apply_group_health(received, make_view(), entry, at(2900ms));
    cr_assert(reason(make_view(), received, 3000ms) == "member_unseen");
}


Test(health_exchange, late_and_duplicate_replies_are_dropped)
{
    health_exchange exchange;
    const base::daemon_id peer{"entry-2"};
    const auto first = exchange.start_request(peer, {}, at(1000ms));
    const auto second = exchange.start_request(peer, {}, at(2000ms));
    cr_assert(exchange.unanswered(peer) == 1);
    cr_assert(!exchange.accept(peer, {first.stamp_, {}, {}}));
    cr_assert(exchange.accept(peer, {second.stamp_, {}, {}}) == at(2000ms));
    cr_assert(!exchange.accept(peer, {second.stamp_, {}, {}}));
    cr_assert(exchange.unanswered(peer) == 0);
}

#include "host_sync.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry;

namespace {

constexpr int host_count = 250;


platform::object make_entry(int host, std::uint64_t version)
{
    const std::string value = "{\"changed\":" + std::to_string(version) + "}";
    return {"hosts/host-" + std::to_string(host), {version}, value};
}


/// Host entries of one daemon, and the log of how it applied them.
struct daemon_hosts
{
    pvt::host_log_position position_;
    pvt::host_change_log change_log_;
    pvt::host_entries entries_;
};


void apply(daemon_hosts& d, int host, std::uint64_t version)
{
    const auto entry = make_entry(host, version);
    d.entries_[{"host-" + std::to_string(host)}] = entry;
    d.change_log_.add({entry, false});
    d.position_.sequence_ = d.change_log_.sequence();
}


daemon_hosts make_daemon_hosts(const std::string& name)
{
    daemon_hosts d;
    d.position_.source_ = name;
    for (int i = 0; i < host_count; ++i)
        apply(d, i, 100 + static_cast<std::uint64_t>(i));
    return d;
}


pvt::host_sync_response sync_request_response(
    const daemon_hosts& requester,
    const pvt::host_log_position& from,
    const daemon_hosts& responder)
{
    const pvt::host_sync_request request{
        from, pvt::compute_digest(requester.entries_)};
    return make_sync_response(
        pvt::parse_sync_request("/hosts" + pvt::to_query(request)),
        responder.position_,
        responder.change_log_,
        responder.entries_);
}

} // namespace

Test(host_sync, known_position_gets_only_new_changes)
{
    const daemon_hosts follower = make_daemon_hosts("follower/1");
    daemon_hosts leader = make_daemon_hosts("leader/1");
    const auto from = leader.position_;
    apply(leader, 7, 900);
    const auto response = sync_request_response(follower, from, leader);
    cr_assert(response.complete_buckets_.empty());
    cr_assert_eq(response.changes_.size(), 1);
    cr_assert(response.position_ == leader.position_);
}


Test(host_sync, new_leader_with_equal_entries_sends_none)
{
    const daemon_hosts follower = make_daemon_hosts("follower/1");
    const daemon_hosts leader = make_daemon_hosts("leader/1");
    const auto response =
        sync_request_response(follower, {"old-leader/1", 812}, leader);
    cr_assert(response.complete_buckets_.empty());
    cr_assert(response.changes_.empty());
    cr_assert(response.position_ == leader.position_);
}


Test(host_sync, new_leader_sends_buckets_that_differ)
{
    const daemon_hosts follower = make_daemon_hosts("follower/1");
    daemon_hosts leader = make_daemon_hosts("leader/1");
    apply(leader, 7, 900);
    leader.entries_.erase({"host-31"});
    const auto response =
        sync_request_response(follower, {"old-leader/1", 812}, leader);
    cr_assert_eq(response.complete_buckets_.size(), 2);
    cr_assert_lt(response.changes_.size(), host_count / 8);
}


Test(host_sync, empty_requester_gets_all_entries)
{
    const daemon_hosts leader = make_daemon_hosts("leader/1");
    const auto response = sync_request_response({}, {}, leader);
    cr_assert_eq(response.changes_.size(), host_count);
}


Test(host_sync, push_yields_changes_after_the_applied_position)
{
    const std::vector<platform::change> changes{
        {make_entry(1, 11), false}, {make_entry(2, 12), false}};
    const pvt::host_log_position up_to{"leader/1", 12};
    const auto both = pvt::response_from_push({"leader/1", 10}, up_to, changes);
    cr_assert(both && both->changes_ == changes);
    cr_assert(both->position_ == up_to);
    const auto last = pvt::response_from_push({"leader/1", 11}, up_to, changes);
    cr_assert(last && last->changes_.size() == 1);
    cr_assert(last->changes_.front() == changes.back());
}


Test(host_sync, push_with_gap_or_from_another_run_is_ignored)
{
    const std::vector<platform::change> changes{{make_entry(1, 12), false}};
    const pvt::host_log_position up_to{"leader/1", 12};
    cr_assert_not(pvt::response_from_push({"leader/1", 10}, up_to, changes));
    cr_assert_not(pvt::response_from_push({"leader/1", 12}, up_to, changes));
    cr_assert_not(pvt::response_from_push({"leader/1", 13}, up_to, changes));
    cr_assert_not(
        pvt::response_from_push({"old-leader/1", 11}, up_to, changes));
    cr_assert_not(pvt::response_from_push({"leader/1", 11}, up_to, {}));
}


Test(host_sync, response_round_trip)
{
    const pvt::host_sync_response sent{
        {"heredia-1/7", 12}, {3, 63}, {{make_entry(1, 3), false}}};
    const auto got = pvt::parse_sync_response(pvt::to_text(sent));
    cr_assert(got.has_value());
    cr_assert(got->position_ == sent.position_);
    cr_assert(got->complete_buckets_ == sent.complete_buckets_);
    cr_assert(got->changes_ == sent.changes_);
    cr_assert_not(pvt::parse_sync_response("{}").has_value());
}


// An entry with invalid UTF-8 made the response malformed, so that a follower
// fetched no change as long as the entry was among them.
Test(host_sync, responses_carry_entries_of_any_bytes)
{
    pvt::host_sync_response sent;
    sent.position_ = {"a.1", 3};
    sent.changes_ = {
        {make_entry(1, 5), false},
        {{"hosts/\xff", {6, 1}, "{\"note\":\"\xed\xa0\xbd \xfe\"}"}, false},
        {{"hosts/c", {7, 1}, R"({"note":"lot \ud83d"})"}, false},
        {{"hosts/d", {8, 1}, ""}, true}};
    const auto received = pvt::parse_sync_response(pvt::to_text(sent));
    cr_assert(received.has_value());
    cr_assert_eq(received->position_.sequence_, 3);
    cr_assert_eq(received->changes_.size(), sent.changes_.size());
    for (std::size_t i = 0; i < sent.changes_.size(); ++i) {
        cr_assert(received->changes_[i].object_ == sent.changes_[i].object_);
        cr_assert_eq(received->changes_[i].deleted_, sent.changes_[i].deleted_);
    }
}


// Guards against a part of the hosts of a peer that ended early.
Test(host_sync, no_part_of_a_response_is_read)
{
    const daemon_hosts follower = make_daemon_hosts("follower/1");
    daemon_hosts leader = make_daemon_hosts("leader/1");
    const auto from = leader.position_;
    apply(leader, 7, 900);
    const std::string whole =
        pvt::to_text(sync_request_response(follower, from, leader));
    for (std::size_t size = 0; size < whole.size(); ++size)
        cr_expect_not(
            pvt::parse_sync_response(whole.substr(0, size)), "%zu", size);
    cr_expect(pvt::parse_sync_response(whole));
}

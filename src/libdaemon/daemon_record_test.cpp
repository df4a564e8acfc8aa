#include "daemon_record.hpp"
#include "member_views.hpp"
#include "peer_registration.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;


Test(daemon_record, round_trips_through_json)
{
    const daemon::daemon_record record{
        "127.0.0.1:8001", "127.0.0.1:7001", {"heredia"}, {"cr-central"}, {42}};
    const auto parsed = daemon::parse_daemon_record(daemon::to_json(record));
    cr_assert(base::ok(parsed));
    cr_assert(base::value(parsed).peer_address_ == "127.0.0.1:7001");
    cr_assert(base::value(parsed).region_.value_ == "cr-central");
    cr_assert(base::value(parsed).incarnation_.value_ == 42);
}


Test(daemon_record, malformed_text_is_corrupt)
{
    for (const char* text :
         {"", "[]", "{}", R"({"caller_address":"127.0.0.1:8001"})"}) {
        const auto parsed = daemon::parse_daemon_record(text);
        cr_assert(!base::ok(parsed));
        cr_assert(base::error(parsed).code_ == base::problem_code::corrupt);
    }
}


Test(daemon_record, restart_raises_incarnation)
{
    const membership::incarnation far_ahead{1ULL << 60};
    cr_assert(daemon::next_incarnation(far_ahead).value_ == (1ULL << 60) + 1);
    cr_assert(daemon::next_incarnation({}).value_ > 1'000'000'000'000);
}


Test(member_views, members_page_lists_drop_reasons)
{
    membership::member_record self;
    self.id_ = {"entry-1"};
    const membership::node node({}, self, {}, 1);
    peer::peer_counters sockets;
    sockets.drops_.add(wire::drop_reason::replayed);
    const std::string page = daemon::members_page(node, sockets);
    for (const char* part :
         {R"("daemon":"entry-1")",
          R"("replayed":1)",
          R"("forged":0)",
          R"("state":"alive")"})
        cr_assert(page.find(part) != std::string::npos, "%s", part);
}


Test(member_views, draining_daemon_is_no_entry_host)
{
    membership::member_record self;
    self.id_ = {"entry-1"};
    self.caller_ = {0x7f000001, 8001};
    membership::node open({}, self, {}, 1);
    cr_assert(daemon::open_entry_hosts(open).size() == 1);
    self.status_.entry_mode_ = membership::entry_mode::draining;
    membership::node draining({}, self, {}, 1);
    cr_assert(daemon::open_entry_hosts(draining).empty());
}

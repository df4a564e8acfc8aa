#include "peer_inbox.hpp"
#include "peer_message.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};


std::string report(std::uint64_t number)
{
    return pvt::encode(
        pvt::host_finding_message{number, paths::peer_finding::reached});
}


std::string next(pvt::peer_inbox& inbox, base::time_point now)
{
    const auto d = inbox.pop(now);
    return d ? d->bytes_ : "";
}

} // namespace

Test(peer_inbox, control_goes_before_loads_and_evidence)
{
    const std::string evidence = report(1);
    const std::string load = pvt::encode(pvt::load_message{{"a"}, {}});
    const std::string control = pvt::encode(pvt::membership_message{"m"});
    const std::string forwarded = pvt::encode(pvt::forwarded_message{
        pvt::encode(pvt::upstream_suspected_message{{"h"}, {}})});
    pvt::peer_inbox inbox;
    for (const auto& bytes : {forwarded, evidence, load, control})
        inbox.push({bytes, {}, start});
    cr_expect_eq(next(inbox, start), control);
    cr_expect_eq(next(inbox, start), load);
    cr_expect_eq(next(inbox, start), forwarded);
    cr_expect_eq(next(inbox, start), evidence);
    cr_expect(inbox.empty());
}


// Guards against a flood of well-formed reports that a daemon handles seconds
// after they were sent.
Test(peer_inbox, oldest_evidence_is_dropped)
{
    pvt::peer_inbox inbox;
    for (std::uint64_t i = 0; i < pvt::max_kept_messages + 10; ++i)
        inbox.push({report(i), {}, start});
    cr_expect_eq(inbox.dropped(pvt::message_priority::evidence), 10);
    cr_expect_eq(next(inbox, start), report(10));
    inbox.push({report(9999), {}, start + 1s});
    cr_expect_eq(next(inbox, start + 1s), report(9999));
    cr_expect(inbox.empty());
}


Test(peer_inbox, malformed_datagrams_are_passed_on)
{
    pvt::peer_inbox inbox;
    for (const std::string& bytes :
         {std::string(), std::string("x"), std::string(3, '\xff')}) {
        inbox.push({bytes, {}, start});
        cr_expect_eq(next(inbox, start), bytes);
    }
}

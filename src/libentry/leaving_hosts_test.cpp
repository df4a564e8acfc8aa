#include "leaving_hosts.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};


fleet::host_info make_host(const std::string& id, std::int64_t process_start_ms)
{
    fleet::host_info host;
    host.id_ = {id};
    host.process_start_ms_ = process_start_ms;
    return host;
}

} // namespace


// A leaving host that a restored store lists as available got requests again.
Test(leaving_hosts, a_host_stays_leaving_until_it_restarts)
{
    pvt::leaving_hosts hosts;
    hosts.add(make_host("a", 7), start);
    cr_assert(hosts.contains(make_host("a", 7)));
    cr_assert_not(hosts.contains(make_host("a", 8)));
    cr_assert_not(hosts.contains(make_host("b", 7)));
}


Test(leaving_hosts, a_host_without_a_start_time_is_not_recorded)
{
    pvt::leaving_hosts hosts;
    hosts.add(make_host("a", 0), start);
    cr_assert_not(hosts.contains(make_host("a", 0)));
}


Test(leaving_hosts, records_are_forgotten_after_the_retention)
{
    pvt::leaving_hosts hosts;
    hosts.add(make_host("a", 7), start);
    hosts.prune(start + pvt::leaving_hosts::retention);
    cr_assert(hosts.contains(make_host("a", 7)));
    hosts.prune(start + pvt::leaving_hosts::retention + 1ms);
    cr_assert_not(hosts.contains(make_host("a", 7)));
}

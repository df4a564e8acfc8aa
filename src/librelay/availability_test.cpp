#include "proxy_session_test.hpp"

#include <monsoondock/relay/availability.hpp>
#include <monsoondock/relay/choose_upstream.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace monsoondock;
using namespace monsoondock::relay;
using namespace monsoondock::relay::test;
using namespace std::chrono_literals;

using catalog::request_kind;

namespace {

const base::time_point start{1000s};
// So many that a host which is not excluded gets one of them.
constexpr int many_requests = 60;


scripted_response make_success()
{
    scripted_response r;
    r.framing_ = test::framing::length;
    r.body_ = "{}";
    return r;
}


scripted_response make_rejection(const std::string& retry_after)
{
    scripted_response r = make_success();
    r.status_ = "503 Service Unavailable";
    r.fields_ = "X-Not-Run: 1\r\nRetry-After: " + retry_after + "\r\n";
    return r;
}


// Returns how many requests were addressed to the host of the first one.
long requests_to_first_host(const proxy_session& s)
{
    const auto targets = s.upstream_.targets();
    return std::count(targets.begin(), targets.end(), targets.front());
}


upstream_state make_paused_state(base::time_point until)
{
    upstream_state s;
    s.paused_until_ = until;
    return s;
}

} // namespace


// A host that said in a response that it was leaving got further requests.
Test(availability, a_host_that_says_it_is_leaving_gets_nothing_more)
{
    std::vector<scripted_response> script(many_requests, make_success());
    script.front().fields_ = "X-Leaving: 1\r\n";
    proxy_session s(request_kind::idempotent, script);
    for (int i = 0; i < many_requests; ++i)
        cr_assert(s.call().status_ == 200);
    cr_assert_eq(requests_to_first_host(s), 1);
}


// Guards against forgetting what a host said of itself when its entry lapses,
// or its group is out of use, and comes back: it got requests in its pause.
Test(availability, a_pause_outlasts_a_lapse_of_the_entry)
{
    std::vector<scripted_response> script(many_requests + 1, make_success());
    script.front() = make_rejection("60");
    proxy_session s(request_kind::at_most_once, script);
    cr_assert(s.call().status_ == 200);
    s.list_hosts({});
    cr_assert(s.call().status_ == 503);
    s.list_hosts({"a", "b", "c"});
    for (int i = 2; i < many_requests; ++i)
        cr_assert(s.call().status_ == 200);
    cr_assert_eq(requests_to_first_host(s), 1);
}


// The same for a host that is leaving.
Test(availability, a_leaving_host_is_known_after_a_lapse_of_the_entry)
{
    std::vector<scripted_response> script(many_requests, make_success());
    script.front().fields_ = "X-Leaving: 1\r\n";
    proxy_session s(request_kind::idempotent, script);
    cr_assert(s.call().status_ == 200);
    s.list_hosts({});
    cr_assert(s.call().status_ == 503);
    s.list_hosts({"a", "b", "c"});
    for (int i = 1; i < many_requests; ++i)
        cr_assert(s.call().status_ == 200);
    cr_assert_eq(requests_to_first_host(s), 1);
}


// A host that asked for a pause got further requests during it.
Test(availability, a_host_that_asks_for_a_pause_gets_nothing_during_it)
{
    std::vector<scripted_response> script(many_requests + 1, make_success());
    script.front() = make_rejection("60");
    proxy_session s(request_kind::at_most_once, script);
    for (int i = 0; i < many_requests; ++i)
        cr_assert(s.call().status_ == 200);
    cr_assert_eq(requests_to_first_host(s), 1);
}


// A request that met only paused hosts was sent on or told to return too early.
Test(availability, callers_are_told_the_end_of_the_first_pause)
{
    proxy_session s(
        request_kind::idempotent,
        {make_rejection("80"), make_rejection("60.5"), make_rejection("90")});
    for (int i = 0; i < 10; ++i) {
        const caller_response r = s.call();
        cr_assert(r.status_ == 503);
        cr_assert(r.complete_);
        const double seconds = std::stod(r.retry_after_);
        cr_assert(seconds > 40 && seconds < 1.25 * 60.5, "%f", seconds);
    }
    cr_assert_eq(s.upstream_.requests(), 3);
}


Test(availability, the_share_grows_after_a_pause)
{
    const upstream_state s = make_paused_state(start);
    cr_assert_eq(usable_share(s, start - 1ms), 0);
    cr_assert_float_eq(usable_share(s, start + ramp_time / 4), 0.25, 0.01);
    cr_assert_eq(usable_share(s, start + ramp_time), 1);
    cr_assert_eq(usable_share(upstream_state{}, start), 1);
}


Test(availability, a_restarted_host_is_neither_leaving_nor_paused)
{
    upstream_table table;
    upstream_state& s = table.state_of({"a"});
    s.leaving_ = true;
    s.paused_until_ = start;
    s.process_start_ms_ = 7;
    table.detect_restart({"a"}, 7);
    cr_assert(s.leaving_);
    table.detect_restart({"a"}, 8);
    cr_assert_eq(usable_share(s, start - 1ms), 1);
}


namespace {

/// Daemons that choose among hosts, all with the same knowledge.
struct pause_simulation
{
    static constexpr std::size_t host_count = 20;
    static constexpr std::chrono::milliseconds slice{100};
    static constexpr unsigned slots = 10;

    std::vector<upstream> hosts_;
    std::vector<upstream_table> daemons_;
    std::mt19937_64 random_{7};


    explicit pause_simulation(std::size_t daemons) : daemons_(daemons)
    {
        for (std::size_t i = 0; i < host_count; ++i) {
            upstream u;
            u.host_ = {std::to_string(i)};
            u.slots_ = slots;
            hosts_.push_back(u);
        }
        // The first host is full when it rejects all daemons, and then drains.
        for (upstream_table& d : daemons_) {
            d.state_of({"0"}).paused_until_ = start;
            for (std::size_t i = 1; i < host_count; ++i)
                d.state_of(hosts_[i].host_).peer_loads_[{"all"}] = slots / 2;
        }
    }


    // Returns the requests by host that arrive within one slice, of as many as
    // the hosts have half of their slots.
    std::vector<unsigned> run_slice(base::time_point now)
    {
        constexpr unsigned requests = host_count * slots / 2;
        std::vector<unsigned> arrivals(host_count);
        std::uniform_real_distribution<double> draw;
        for (unsigned i = 0; i < requests; ++i) {
            upstream_table& table = daemons_[random_() % daemons_.size()];
            const choice_request request{
                "", {}, {}, now, draw(random_), double(requests)};
            ++arrivals[*choose_upstream(hosts_, table, request)];
        }
        return arrivals;
    }
};

} // namespace


// Daemons that a host had rejected all returned to it at the end of the pause.
Test(availability, many_daemons_return_to_a_paused_host_by_degrees)
{
    for (const std::size_t daemons : {1, 8, 195}) {
        pause_simulation s(daemons);
        cr_assert_eq(s.run_slice(start - 100ms)[0], 0);
        for (auto t = 0ms; t < ramp_time; t += s.slice) {
            const auto arrivals = s.run_slice(start + t);
            // An idle host would get the requests that fill it to the level of
            // the others, about its slots.
            const double full = double(s.slots) + 5;
            const double share =
                double((t + s.slice).count()) / double(ramp_time.count());
            cr_assert_leq(
                arrivals[0], share * full + 5, "%zu daemons", daemons);
            const unsigned most =
                *std::max_element(arrivals.begin() + 1, arrivals.end());
            cr_assert_leq(most, s.slots + s.slots / 2);
        }
    }
}


// Guards against taking the limit of a cold host for the one that it names:
// each goes on when the other one ends.
Test(availability, the_limits_of_a_cold_host_and_its_own_are_separate)
{
    upstream_state s;
    hostlimits::limit_until(s.cold_limit_, 23, start + 2s, start);
    s.cold_until_ = start + 2s;
    cr_assert_eq(usable_share(s, start + 1s), 0);
    hostlimits::set_share(s.cold_limit_, 10, start);
    cr_assert_eq(usable_share(s, start + 1s), 1);
    hostlimits::state_limit(s.limit_, 1, start);
    cr_assert_eq(usable_share(s, start + 1s), 0);
    cr_assert_eq(usable_share(s, start + 10s), 0);
    hostlimits::state_limit(s.limit_, 0, start + 10s);
    cr_assert_eq(usable_share(s, start + 10s), 1);
}


// Guards against the return of all daemons together to a host that is no longer
// cold.
Test(availability, the_share_grows_after_a_cold_time)
{
    upstream_state s;
    s.cold_until_ = start;
    cr_assert_float_eq(usable_share(s, start + 500ms), 0.5, 1e-9);
    cr_assert_eq(usable_share(s, start + 1s), 1);
}

#include "proxy_session_test.hpp"

#include <criterion/criterion.h>

#include <future>
#include <thread>

using namespace monsoondock;
using namespace monsoondock::relay;
using namespace monsoondock::relay::test;
using namespace std::chrono_literals;

using catalog::request_kind;

namespace {

constexpr int events = 12;


// Sends an event every 100 ms.
scripted_response make_paced_stream()
{
    scripted_response r;
    r.parts_.push_back({make_stream_header() + make_chunk(make_events(1, 1))});
    for (int i = 2; i <= events; ++i)
        r.parts_.push_back({make_chunk(make_events(i, i)), 0, 100ms});
    r.parts_.push_back({make_last_chunk()});
    return r;
}


session_options make_options(double step_ms, bool learned)
{
    session_options options;
    options.step_ms_ = step_ms;
    options.learned_capacity_ = learned;
    return options;
}


bool shows_slow_upstream(const proxy_session& s)
{
    return s.metrics_.render().find("monsoondock_upstream_pace{") !=
           std::string::npos;
}


std::vector<hostpace::pace_report> reports_of(proxy_session& s)
{
    std::promise<std::vector<hostpace::pace_report>> reports;
    s.proxy_.take_traffic_stats(
        [&](const traffic_stats& stats) { reports.set_value(stats.paces_); });
    return reports.get_future().get();
}

} // namespace

// Events that arrive ten times later than the figures of the engine say are
// found while the stream goes on.
Test(upstream_pace, a_slow_stream_is_measured_and_reported)
{
    proxy_session s(
        request_kind::resumable_stream,
        {make_paced_stream()},
        make_options(10, true));
    const caller_response response = s.call();
    cr_assert(response.body_ == make_events(1, events));
    // The pace is forgotten over several seconds.
    for (int i = 0; i < 20 && !shows_slow_upstream(s); ++i)
        std::this_thread::sleep_for(50ms);
    cr_assert(shows_slow_upstream(s));
    const auto reports = reports_of(s);
    cr_assert_eq(reports.size(), 1);
    cr_assert(hostpace::is_valid(reports.at(0).sums_));
}


// Without the setting, daemons must not send anything new to each other.
Test(upstream_pace, nothing_is_measured_without_learned_capacity)
{
    proxy_session s(
        request_kind::resumable_stream,
        {make_paced_stream()},
        make_options(10, false));
    const caller_response response = s.call();
    cr_assert(response.body_ == make_events(1, events));
    cr_assert_not(shows_slow_upstream(s));
    cr_assert(reports_of(s).empty());
}


// Evidence of peers moves requests away from an upstream that this daemon has
// never used; "a" is the one that it would choose.
Test(upstream_pace, reports_of_peers_keep_requests_away)
{
    proxy_session s(
        request_kind::idempotent,
        std::vector<scripted_response>(40),
        make_options(10, true));
    hostpace::pace_report report{{"a"}, 0, {}};
    report.sums_.levels_[0] = {4e6, 1e6};
    s.proxy_.apply_pace_reports({"peer"}, {report});
    for (int i = 0; i < 100 && !shows_slow_upstream(s); ++i)
        std::this_thread::sleep_for(50ms);
    cr_assert(shows_slow_upstream(s));
    std::this_thread::sleep_for(200ms);
    for (int i = 0; i < 30; ++i)
        s.call();
    for (const std::string& target : s.upstream_.targets())
        cr_assert(target != "a");
}

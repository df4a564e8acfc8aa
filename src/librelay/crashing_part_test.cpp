#include "proxy_session_test.hpp"

#include <monsoondock/crashes/part_tracker.hpp>

#include <criterion/criterion.h>

#include <thread>

using namespace monsoondock;
using namespace monsoondock::relay::test;

using catalog::request_kind;

namespace {

// Crashes after which the part is to be known, and requests with it that may
// still be sent; from the users' rule on requests that crash upstreams.
constexpr std::size_t known_crashes = 5;
constexpr std::size_t late_requests = 3;
constexpr std::size_t max_sends = known_crashes + late_requests;
constexpr int callers = 20;


session_options make_options()
{
    session_options options;
    options.hosts_ = {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j",
                      "k", "l", "m", "n", "o", "p", "q", "r", "s", "t"};
    return options;
}


// Requests with the part `bad`. No two have another part in common with each
// other alone, or the same body.
request_options make_crashing_request(int number)
{
    request_options r;
    r.body_ = "crashing " + std::to_string(number);
    r.prompt_parts_ = "a1:40,bad:70," + std::to_string(number) + ":10";
    return r;
}


request_options make_sound_request(int number)
{
    request_options r;
    r.body_ = "sound " + std::to_string(number);
    r.prompt_parts_ = "a1:40,c" + std::to_string(number) + ":70,d1:10";
    return r;
}


// Sound requests that are completed before others crash their upstreams.
// Without any, nothing tells the part that crashes upstreams from those of all
// requests.
constexpr int sound_before = 3;


// Upstreams that crash as they begin to write on a part.
std::vector<scripted_response> make_script()
{
    scripted_response r;
    r.crashes_on_part_ = "bad";
    return std::vector<scripted_response>(200, r);
}

} // namespace

// Guards against taking a response for complete whose end is that of the
// connection: it may be that of the host.
Test(crashing_part, a_response_that_ends_with_its_connection_clears_nothing)
{
    auto script = make_script();
    script[sound_before].crashes_on_part_.clear();
    script[sound_before].framing_ = framing::connection_close;
    script[sound_before].ending_ = ending::close;
    proxy_session s(request_kind::resumable_stream, script, make_options());
    for (int i = 0; i < sound_before; ++i)
        cr_assert_eq(s.call_once(make_sound_request(i)).status_, 200);
    cr_assert_eq(s.call_once(make_crashing_request(100)).status_, 200);
    std::this_thread::sleep_for(2 * crashes::part_tracker::survival_delay);
    for (int i = 0; i < callers; ++i)
        s.call_once(make_crashing_request(i));
    cr_expect_leq(s.upstream_.requests(), sound_before + 1 + max_sends);
}


// Guards against counting requests as one that differ in nothing but the last
// part of their prompts: one alone shows nothing about the part that they
// share.
Test(crashing_part, requests_that_differ_in_their_last_part_are_several)
{
    proxy_session s(
        request_kind::resumable_stream, make_script(), make_options());
    for (int i = 0; i < sound_before; ++i) {
        request_options sound = make_sound_request(i);
        sound.body_.clear();
        cr_assert_eq(s.call_once(sound).status_, 200);
    }
    for (int i = 0; i < callers; ++i) {
        request_options crashing = make_crashing_request(i);
        crashing.body_.clear();
        s.call_once(crashing);
    }
    request_options later = make_sound_request(7);
    later.body_.clear();
    cr_expect_eq(s.call_once(later).status_, 200);
    request_options crashing = make_crashing_request(callers);
    crashing.body_ = "another";
    const std::size_t before = s.upstream_.requests();
    cr_expect_eq(s.call_once(crashing).status_, 503);
    cr_expect_eq(s.upstream_.requests(), before);
}


// Guards against sending requests to host after host while all that they have
// in common is one part of their prompts, under which the hosts crash.
Test(crashing_part, requests_that_share_it_stop_reaching_upstreams)
{
    proxy_session s(
        request_kind::resumable_stream, make_script(), make_options());
    for (int i = 0; i < sound_before; ++i)
        cr_assert_eq(s.call_once(make_sound_request(i)).status_, 200);
    for (int i = 0; i < callers; ++i)
        s.call_once(make_crashing_request(i));
    cr_expect_leq(s.upstream_.requests(), sound_before + max_sends);
    const auto last = s.call_once(make_crashing_request(callers));
    cr_expect_eq(last.status_, 503);
    cr_expect_not(last.retry_after_.empty());
    for (int i = 0; i < 3; ++i)
        cr_expect_eq(s.call_once(make_sound_request(i + 10)).status_, 200);
}

#include "proxy_session_test.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace monsoondock;
using namespace monsoondock::relay::test;

using catalog::request_kind;

namespace {

constexpr int many_requests = 20;


std::vector<scripted_response> make_script()
{
    scripted_response r;
    r.framing_ = framing::length;
    r.body_ = "{}";
    return std::vector<scripted_response>(many_requests, r);
}

} // namespace

// Guards against sending a request to a data centre that was evacuated while
// the request waited for a connection.
Test(evacuation, a_request_that_waited_for_a_connection_goes_elsewhere)
{
    session_options options;
    options.hosts_ = {"a", "b"};
    options.evacuated_host_ = "a";
    proxy_session s(request_kind::at_most_once, make_script(), options);
    for (int i = 0; i < many_requests; ++i)
        cr_expect_eq(s.call().status_, 200);
    const auto targets = s.upstream_.targets();
    cr_expect_eq(std::count(targets.begin(), targets.end(), "a"), 0);
}


// Guards against holding a request until its deadline when all data centres
// are evacuated.
Test(evacuation, a_request_is_refused_at_once_when_no_host_is_left)
{
    session_options options;
    options.hosts_ = {"a"};
    options.evacuated_host_ = "a";
    proxy_session s(request_kind::at_most_once, make_script(), options);
    const caller_response r = s.call();
    cr_expect_eq(r.status_, 503);
    cr_expect_not(r.retry_after_.empty());
    cr_expect_eq(s.upstream_.requests(), 0);
}

#include "proxy_session_test.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace monsoondock;
using namespace monsoondock::relay::test;

using catalog::request_kind;

namespace {

constexpr int many_requests = 60;
// With a limit of 0.01 requests a second: one and a half times what it allows
// in 4 s, and 5 more; from the users' rule on limits of upstreams.
constexpr long allowed_requests = 5;


std::vector<scripted_response> make_script()
{
    scripted_response r;
    r.framing_ = framing::length;
    r.body_ = "{}";
    r.limited_host_ = "a";
    return std::vector<scripted_response>(many_requests, r);
}


long requests_to(const proxy_session& s, const std::string& host)
{
    const auto targets = s.upstream_.targets();
    return std::count(targets.begin(), targets.end(), host);
}

} // namespace

// Guards against sending a host its usual share of requests although it has
// named a limit in its responses.
Test(host_limit, a_host_gets_no_more_than_it_accepts)
{
    session_options options;
    options.hosts_ = {"a", "b"};
    proxy_session s(request_kind::idempotent, make_script(), options);
    for (int i = 0; i < many_requests; ++i)
        cr_expect_eq(s.call().status_, 200);
    cr_expect_leq(requests_to(s, "a"), allowed_requests);
}


// Guards against the same when there is no other host; callers are then told
// when to return.
Test(host_limit, callers_are_rejected_when_all_hosts_are_at_their_limit)
{
    session_options options;
    options.hosts_ = {"a"};
    proxy_session s(request_kind::at_most_once, make_script(), options);
    int rejected = 0;
    for (int i = 0; i < many_requests; ++i) {
        const caller_response r = s.call();
        rejected += r.status_ == 503 && !r.retry_after_.empty() ? 1 : 0;
    }
    cr_expect_leq(requests_to(s, "a"), allowed_requests);
    cr_expect_eq(rejected, many_requests - requests_to(s, "a"));
}

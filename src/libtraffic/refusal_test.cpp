#include <monsoondock/traffic/refusal.hpp>

#include <boost/json/parse.hpp>
#include <criterion/criterion.h>

using namespace monsoondock::traffic;
using namespace std::chrono_literals;


Test(refusal, only_unsent_requests_are_reported_as_not_run)
{
    for (const run_state run :
         {run_state::unsent, run_state::maybe_sent, run_state::answered}) {
        refusal r;
        r.type_ = "no_upstream";
        r.run_ = run;
        const auto body = boost::json::parse(to_response(r).body());
        const bool not_run = body.at("run").as_string() == "not_run";
        cr_assert(not_run == (run == run_state::unsent));
    }
}


Test(refusal, retry_after_is_rounded_up_to_whole_seconds)
{
    refusal r;
    r.retry_after_ = 1200ms;
    const auto response = to_response(r);
    cr_assert(response["Retry-After"] == "2");
    const auto body = boost::json::parse(response.body());
    cr_assert(body.at("retry_after_ms").as_int64() == 1200);
}

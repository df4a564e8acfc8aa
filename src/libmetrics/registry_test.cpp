#include <monsoondock/metrics/registry.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::metrics;
using namespace std::chrono_literals;


Test(registry, renders_cumulative_buckets_by_workspace_and_class)
{
    registry r;
    const label labels{"shed-north", "interactive"};
    r.observe(latency::first_token, labels, 3ms);
    r.observe(latency::first_token, labels, 2s);
    r.add(counter::tokens, labels, 7);
    const std::string text = r.render();
    const std::string where = "{workspace=\"shed-north\",class=\"interactive\"";
    cr_assert(
        text.find(
            "monsoondock_first_token_seconds_bucket" + where +
            ",le=\"0.005\"} 1") != std::string::npos);
    cr_assert(
        text.find("monsoondock_first_token_seconds_count" + where + "} 2") !=
        std::string::npos);
    cr_assert(
        text.find("monsoondock_tokens_total" + where + "} 7") !=
        std::string::npos);
}

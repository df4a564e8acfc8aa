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
    const std::string label_text =
        "{workspace=\"shed-north\",class=\"interactive\"";
    cr_assert(
        text.find(
            "monsoondock_first_token_seconds_bucket" + label_text +
            ",le=\"0.005\"} 1") != std::string::npos);
    cr_assert(
        text.find(
            "monsoondock_first_token_seconds_count" + label_text + "} 2") !=
        std::string::npos);
    cr_assert(
        text.find("monsoondock_tokens_total" + label_text + "} 7") !=
        std::string::npos);
}


Test(registry, renders_gauges_of_hosts_until_they_are_removed)
{
    registry r;
    r.set(host_gauge::upstream_pace, "h", 4);
    const std::string line = "monsoondock_upstream_pace{host=\"h\"} 4";
    cr_assert(r.render().find(line) != std::string::npos);
    r.remove(host_gauge::upstream_pace, "h");
    cr_assert(r.render().find("upstream_pace") == std::string::npos);
}

#include "explain_page.hpp"

#include <boost/json/parse.hpp>
#include <criterion/criterion.h>

using namespace monsoondock;
using namespace std::chrono_literals;


Test(explain_page, reports_expired_evidence_of_group)
{
    traffic::routing_snapshot snapshot;
    snapshot.models_.push_back({"copal-llm"});
    traffic::group_row row;
    row.group_.value_ = "g1";
    row.deployment_.value_ = "copal-llm";
    row.fresh_until_ = base::time_point(5s);
    row.load_ = std::make_shared<traffic::upstream_load>();
    snapshot.groups_.push_back(row);
    const std::string target =
        "/admin/explain?workspace=nobody&deployment=copal-llm";
    const auto page = boost::json::parse(
        daemon::explain_page(snapshot, target, base::time_point(7s)));
    cr_assert(!page.at("workspace_known").as_bool());
    cr_assert(page.at("deployment_known").as_bool());
    const auto& group = page.at("groups").at(0);
    cr_assert(!group.at("may_dispatch").as_bool());
    cr_assert(group.at("evidence_left_ms").as_int64() == -2000);
}


Test(explain_page, missing_parameters_read_as_empty)
{
    for (const char* target :
         {"/admin/explain", "/admin/explain?", "/x?=&&="}) {
        const auto page =
            boost::json::parse(daemon::explain_page({}, target, {}));
        cr_assert(page.at("workspace").as_string().empty());
        cr_assert(!page.at("deployment_known").as_bool());
    }
}

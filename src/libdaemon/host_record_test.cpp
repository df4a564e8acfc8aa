#include "host_record.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;


Test(host_record, reads_service_host)
{
    const auto parsed = daemon::parse_host_record(
        {"l1"},
        R"({"address":"127.0.0.1:7","data_centre":"heredia",)"
        R"("kind":"service","deployment":"ledger-app","state":"leaving"})");
    cr_assert(base::ok(parsed));
    cr_assert(base::value(parsed).kind_ == daemon::host_kind::service);
    cr_assert(base::value(parsed).leaving_);
}


Test(host_record, missing_member_is_corrupt)
{
    for (const char* text : {"{}", "[]", "", R"({"address":3})"}) {
        const auto parsed = daemon::parse_host_record({"l1"}, text);
        cr_assert(!base::ok(parsed));
        cr_assert(base::error(parsed).code_ == base::problem_code::corrupt);
    }
}

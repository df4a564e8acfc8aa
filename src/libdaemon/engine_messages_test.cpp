#include "engine_messages.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::daemon;


Test(engine_messages, reads_status)
{
    const auto status = parse_engine_status(
        R"({"host":"h0","group":"a-1","generation":7,"phase":"ready",)"
        R"("role":"head","deployment":"d","running":3,"queued":2,)"
        R"("cached_prefixes":0,"checks_generation":true})");
    cr_assert(base::ok(status));
    const engine_status& read = base::value(status);
    cr_assert(read.report_.group_.value_ == "a-1");
    cr_assert(read.report_.generation_.value_ == 7);
    cr_assert(read.report_.phase_ == groups::engine_phase::ready);
    cr_assert(read.report_.running_ == 3 && read.queued_ == 2);
}


Test(engine_messages, reads_the_limit_of_a_status)
{
    const std::string common =
        R"({"group":"a","generation":1,"phase":"ready","running":0,"queued":0)";
    cr_assert_not(base::value(parse_engine_status(common + "}")).limit_);
    const auto limited =
        parse_engine_status(common + R"(,"request_limit":1.5})");
    cr_assert_eq(base::value(limited).limit_, 1.5);
}


Test(engine_messages, rejects_malformed_status)
{
    for (const char* text :
         {"",
          "[]",
          "{}",
          R"({"group":"a","generation":-1,"phase":"idle","running":0,)"
          R"("queued":0})",
          R"({"group":"a","generation":1,"phase":"busy","running":0,)"
          R"("queued":0})"})
        cr_assert(!base::ok(parse_engine_status(text)), "%s", text);
}


Test(engine_messages, encodes_orders)
{
    groups::host_order order;
    order.host_.value_ = "h1";
    order.group_.value_ = "a-1";
    order.generation_.value_ = 7;
    order.deployment_.value_ = "d";
    order.rank_ = 1;
    cr_assert(
        encode_order(order, {"x:1", "x:2"}) ==
        R"({"group":"a-1","generation":7,"order":"load","deployment":"d",)"
        R"("rank":1,"hosts":["x:1","x:2"]})");
    order.kind_ = groups::order_kind::unload;
    cr_assert(
        encode_order(order, {}) ==
        R"({"group":"a-1","generation":7,"order":"unload"})");
}


// Guards against a status that is read although its engine ended early.
Test(engine_messages, no_part_of_a_status_is_read)
{
    const std::string whole =
        R"({"group":"a","generation":17,"phase":"ready","running":10,)"
        R"("queued":20,"request_limit":1.5})";
    for (std::size_t size = 0; size <= whole.size(); ++size)
        cr_expect_eq(
            base::ok(parse_engine_status(whole.substr(0, size))),
            size == whole.size(),
            "%zu",
            size);
}

#include "../libbase/raw_server_test.hpp"
#include "../libbase/response_examples_test.hpp"
#include "engine_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <criterion/criterion.h>

using namespace monsoondock;
using namespace std::chrono_literals;

using base::test::make_response;
using base::test::raw_server;
using base::test::response_example;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds timeout = 10s;
const std::string ready = "{\"phase\":\"ready\"}";


template <class Result>
Result run(asio::io_context& context, asio::awaitable<Result> call)
{
    auto result = asio::co_spawn(context, std::move(call), asio::use_future);
    context.restart();
    context.run();
    return result.get();
}


base::result<base::done> post_order(const raw_server& engine)
{
    asio::io_context context;
    daemon::engine_client client(context);
    return run(context, client.post_order(engine.address(), "{}", timeout, [] {
        return true;
    }));
}


// An order whose response is broken may have been carried out, and a status is
// not known; the connection is not used again.
void expect_broken(const std::vector<response_example>& examples)
{
    for (const response_example& e : examples) {
        const raw_server engine({make_response(e, {}, "{}")});
        const auto outcome = post_order(engine);
        cr_expect(
            !base::ok(outcome) &&
                base::error(outcome).code_ == base::problem_code::unavailable,
            "order: %s",
            e.name_.c_str());

        const raw_server probed(
            {make_response(e, {}, ready), make_response({}, {}, ready)});
        asio::io_context context;
        daemon::engine_client client(context);
        const auto status =
            run(context, client.get_status(probed.address(), timeout));
        cr_expect(
            !base::ok(status) &&
                base::error(status).code_ == base::problem_code::unavailable,
            "status: %s",
            e.name_.c_str());
        cr_expect(
            base::ok(
                run(context, client.get_status(probed.address(), timeout))),
            "%s",
            e.name_.c_str());
        cr_expect_eq(probed.connections(), 2, "%s", e.name_.c_str());
    }
}

} // namespace


// Guards against an order that counts as refused, though it may have been
// carried out, because the status of its response is none.
Test(engine_client, a_status_out_of_range_is_no_response)
{
    expect_broken(base::test::invalid_statuses());
}


// Guards against field names that are no tokens.
Test(engine_client, a_response_with_a_broken_field_name_is_none)
{
    expect_broken(base::test::invalid_names());
}


// The same for a line that begins with a blank.
Test(engine_client, a_response_with_a_folded_line_is_none)
{
    expect_broken(base::test::folded_fields());
}


// Guards against an informational response that is taken for the response: an
// order that was carried out counted as refused.
Test(engine_client, informational_responses_are_skipped)
{
    for (const char* status : {"103 Early Hints", "199 Unusual"}) {
        const std::string text = std::string("HTTP/1.1 ") + status +
                                 "\r\n\r\n" + make_response({}, {}, ready);
        const raw_server engine({text});
        cr_expect(base::ok(post_order(engine)), "order: %s", status);
        const raw_server probed({text});
        asio::io_context context;
        daemon::engine_client client(context);
        const auto found =
            run(context, client.get_status(probed.address(), timeout));
        cr_expect(
            base::ok(found) && base::value(found) == ready,
            "status: %s",
            status);
    }
}

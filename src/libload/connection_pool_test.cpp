#include "../libbase/raw_server_test.hpp"
#include "../libbase/response_examples_test.hpp"
#include "connection_pool.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/http/verb.hpp>
#include <criterion/criterion.h>

#include <variant>

using namespace monsoondock;
using namespace std::chrono_literals;

using base::test::make_response;
using base::test::raw_server;
using base::test::response_example;
namespace asio = boost::asio;

namespace {

load::pvt::send_outcome send(const raw_server& server)
{
    const auto endpoint = server.address();
    const std::string address =
        endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    asio::io_context context;
    load::pvt::connection_pool pool;
    auto result = asio::co_spawn(
        context,
        load::pvt::send(
            pool,
            address,
            {boost::beast::http::verb::get, "/", 11},
            false,
            10s),
        asio::use_future);
    context.run();
    return result.get();
}


void expect_broken(const std::vector<response_example>& examples)
{
    for (const response_example& e : examples) {
        const raw_server server({make_response(e, {}, "{}")});
        cr_expect(
            std::holds_alternative<load::transport_failure>(send(server)),
            "%s",
            e.name_.c_str());
    }
}

} // namespace


// Guards against a load run that counts a broken answer as an answer.
Test(connection_pool, a_status_out_of_range_is_no_answer)
{
    expect_broken(base::test::invalid_statuses());
}


// Guards against field names that are no tokens.
Test(connection_pool, an_answer_with_a_broken_field_name_is_none)
{
    expect_broken(base::test::invalid_names());
}


// The same for a line that begins with a blank.
Test(connection_pool, an_answer_with_a_folded_line_is_none)
{
    expect_broken(base::test::folded_fields());
}


// Guards against an informational response that counts as the answer.
Test(connection_pool, informational_responses_are_skipped)
{
    const raw_server server(
        {"HTTP/1.1 103 Early Hints\r\n\r\n" + make_response({}, {}, "{}")});
    const auto outcome = send(server);
    const auto* answer = std::get_if<load::pvt::raw_answer>(&outcome);
    cr_assert_not_null(answer);
    cr_expect_eq(answer->status_, 200, "%d", answer->status_);
    cr_expect(answer->body_ == "{}", "%s", answer->body_.c_str());
}

#include "../libbase/endless_server_test.hpp"
#include "../libbase/raw_server_test.hpp"
#include "../libbase/response_examples_test.hpp"
#include "http_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <criterion/criterion.h>

#include <chrono>

using namespace monsoondock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
// What the socket buffers of both ends may hold besides the bytes that the
// client has read.
constexpr std::size_t in_transit_bytes = 12 * mebibyte;


entry::pvt::call_result call(const asio::ip::tcp::endpoint& address)
{
    asio::io_context context;
    entry::pvt::call_request request(
        boost::beast::http::verb::get, "/order", 11);
    auto result = asio::co_spawn(
        context,
        entry::pvt::send_request(
            context, address, std::move(request), 10s, 30s),
        asio::use_future);
    context.run();
    return result.get();
}


void expect_broken(const std::vector<base::test::response_example>& examples)
{
    for (const auto& e : examples) {
        const base::test::raw_server server(
            {base::test::make_response(e, {}, "{}")});
        const auto result = call(server.address());
        const auto* failure = std::get_if<entry::pvt::call_failure>(&result);
        cr_expect(
            failure != nullptr &&
                *failure == entry::pvt::call_failure::unanswered,
            "%s",
            e.name_.c_str());
    }
}

} // namespace


// The buffer of a call grew with chunk headers and trailers until its time-out,
// and an informational response counted as the response.
Test(http_call, bytes_without_end_are_no_response)
{
    for (const auto& way : base::test::endless_ways(8 * mebibyte)) {
        base::test::endless_server server(way.start_, way.part_);
        const auto result = call(server.address());
        const auto* failure = std::get_if<entry::pvt::call_failure>(&result);
        const std::size_t sent = server.wait();
        cr_expect(
            failure != nullptr &&
                *failure == entry::pvt::call_failure::unanswered,
            "%s",
            way.name_);
        cr_expect_leq(
            sent, way.bound_ + in_transit_bytes, "%s: %zu", way.name_, sent);
    }
}


// An order counted as answered by a status that is none, though the host may
// have carried it out.
Test(http_call, a_status_out_of_range_is_no_response)
{
    expect_broken(base::test::invalid_statuses());
}


// Guards against field names that are no tokens.
Test(http_call, a_response_with_a_broken_field_name_is_none)
{
    expect_broken(base::test::invalid_names());
}


// The same for a line that begins with a blank.
Test(http_call, a_response_with_a_folded_line_is_none)
{
    expect_broken(base::test::folded_fields());
}

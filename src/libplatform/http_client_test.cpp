#include "../libbase/endless_server_test.hpp"
#include "../libbase/raw_server_test.hpp"
#include "../libbase/response_examples_test.hpp"

#include <monsoondock/platform/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <criterion/criterion.h>

#include <atomic>
#include <thread>

using namespace monsoondock;
using namespace monsoondock::platform;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Response of the fake store.
struct scripted_response
{
    std::uint64_t era_ = 0;
    std::string body_;
};


/// Store that sends the responses of a script in the order in which requests
/// arrive, each on a connection of its own.
class fake_store
{
public:
    explicit fake_store(std::vector<scripted_response> script)
        : script_(std::move(script)), thread_([this] { serve(); })
    {}

    fake_store(const fake_store&) = delete;
    fake_store& operator=(const fake_store&) = delete;


    ~fake_store()
    {
        stopping_ = true;
        tcp::socket wake(context_);
        boost::system::error_code ignored;
        wake.connect(address(), ignored);
        thread_.join();
    }


    tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }


    std::size_t requests() const
    {
        return requests_;
    }

private:
    void serve()
    {
        for (;;) {
            tcp::socket socket = acceptor_.accept();
            if (stopping_)
                return;
            boost::beast::flat_buffer buffer;
            http::request<http::string_body> request;
            http::read(socket, buffer, request);
            const scripted_response& r = script_.at(requests_++);
            http::response<http::string_body> response(http::status::ok, 11);
            response.set("X-Store-Era", std::to_string(r.era_));
            response.keep_alive(false);
            response.body() = r.body_;
            response.prepare_payload();
            http::write(socket, response);
        }
    }


    asio::io_context context_;
    tcp::acceptor acceptor_{
        context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::vector<scripted_response> script_;
    std::atomic<std::size_t> requests_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};


/// A client of a fake store.
struct session
{
    explicit session(std::vector<scripted_response> script)
        : store_(std::move(script)),
          client_(context_.get_executor(), {store_.address()}, 10s)
    {}


    template <class Result>
    Result run(asio::awaitable<Result> call)
    {
        auto result =
            asio::co_spawn(context_, std::move(call), asio::use_future);
        context_.restart();
        context_.run();
        return result.get();
    }


    fake_store store_;
    asio::io_context context_;
    http_client client_;
};


const std::string list_of_version_7 = R"({"version":7,"objects":[]})";
const std::string no_changes = R"({"next":9,"changes":[]})";
const std::string written_as_8 = R"({"version":8})";


// A write whose response is broken may have taken effect, and a read has
// failed.
void expect_broken(const std::vector<base::test::response_example>& examples)
{
    const std::string era = "X-Store-Era: 1\r\n";
    for (const auto& e : examples) {
        base::test::raw_server store(
            {base::test::make_response(e, era, written_as_8),
             base::test::make_response(e, era, list_of_version_7),
             base::test::make_response({}, era, list_of_version_7)});
        asio::io_context context;
        http_client client(context.get_executor(), {store.address()}, 30s);
        auto written = asio::co_spawn(
            context, client.put("a/b", "{}", if_absent{}), asio::use_future);
        context.run();
        cr_expect(
            std::holds_alternative<answer_lost>(written.get()),
            "write: %s",
            e.name_.c_str());
        context.restart();
        auto listed =
            asio::co_spawn(context, client.list("a/"), asio::use_future);
        context.run();
        cr_expect_not(base::ok(listed.get()), "list: %s", e.name_.c_str());
        context.restart();
        listed = asio::co_spawn(context, client.list("a/"), asio::use_future);
        context.run();
        cr_expect(base::ok(listed.get()), "%s", e.name_.c_str());
        // None is used again after a broken response.
        cr_expect_eq(store.connections(), 3, "%s", e.name_.c_str());
    }
}

} // namespace


Test(http_client, versions_have_the_era_of_their_response)
{
    session s({{3, list_of_version_7}});
    const auto listed = s.run(s.client_.list("a/"));
    cr_assert(base::ok(listed));
    cr_assert((base::value(listed).version_ == version{7, 3}));
    cr_assert_eq(s.client_.era(), 3);
}


// A version that a restored store assigned again was taken for the older one.
Test(http_client, versions_of_a_later_era_are_higher)
{
    cr_assert((version{5, 2} > version{9, 1}));
    cr_assert((version{5, 1} < version{9, 1}));
}


// A late response of the store from before its restore was applied.
Test(http_client, responses_of_an_earlier_era_count_as_not_received)
{
    session s({{2, list_of_version_7}, {1, list_of_version_7}});
    s.run(s.client_.list("a/"));
    cr_assert_not(base::ok(s.run(s.client_.list("a/"))));
    cr_assert_eq(s.client_.era(), 2);
}


// A watch that went on in a restored store missed the changes before it.
Test(http_client, a_watch_does_not_go_on_in_another_era)
{
    session s({{1, list_of_version_7}, {2, no_changes}});
    s.run(s.client_.list("a/"));
    for (int i = 0; i < 2; ++i) {
        const auto changes = s.run(s.client_.watch("a/", {7, 1}, 10ms));
        cr_assert_not(base::ok(changes));
        cr_assert(base::error(changes).code_ == base::problem_code::exhausted);
    }
    // The second one is known to be outdated without a call.
    cr_assert_eq(s.store_.requests(), 2);
}


// A conditional write succeeded because its version had been assigned again.
Test(http_client, a_write_that_matches_by_coincidence_is_not_confirmed)
{
    session s({{1, list_of_version_7}, {2, written_as_8}});
    s.run(s.client_.list("a/"));
    const auto outcome = s.run(s.client_.put("a/b", "{}", if_version{{7, 1}}));
    cr_assert(std::holds_alternative<answer_lost>(outcome));
}


Test(http_client, a_write_on_a_version_of_an_earlier_era_is_not_sent)
{
    session s({{2, list_of_version_7}});
    s.run(s.client_.list("a/"));
    const auto put = s.run(s.client_.put("a/b", "{}", if_version{{7, 1}}));
    const auto erased = s.run(s.client_.erase("a/b", {7, 1}));
    cr_assert(std::holds_alternative<condition_failed>(put));
    cr_assert(std::holds_alternative<condition_failed>(erased));
    cr_assert_eq(s.store_.requests(), 1);
}


// The buffer of a connection grew with chunk headers and trailers until the
// time-out, and an informational response counted as the response.
Test(http_client, bytes_without_end_are_no_response)
{
    constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
    constexpr std::size_t in_transit_bytes = 12 * mebibyte;
    for (const auto& way : base::test::endless_ways(16 * mebibyte)) {
        base::test::endless_server server(way.start_, way.part_);
        asio::io_context context;
        http_client client(context.get_executor(), {server.address()}, 30s);
        auto written = asio::co_spawn(
            context, client.put("a/b", "{}", if_absent{}), asio::use_future);
        context.run();
        const std::size_t sent = server.wait();
        cr_expect(
            std::holds_alternative<answer_lost>(written.get()),
            "%s",
            way.name_);
        cr_expect_leq(
            sent, way.bound_ + in_transit_bytes, "%s: %zu", way.name_, sent);
    }
}


// Bytes that the store had sent after a response were taken for the response to
// the next request on the connection.
Test(http_client, bytes_after_a_response_end_its_connection)
{
    const std::string listing = R"({"version":7,"objects":[]})";
    const std::string header =
        "HTTP/1.1 200 OK\r\nX-Store-Era: 1\r\nContent-Length: " +
        std::to_string(listing.size()) + "\r\n\r\n";
    const std::string stray = "HTTP/1.1 404 Not Found\r\nX-Store-Era: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
    base::test::endless_server server(header + listing + stray, stray);
    asio::io_context context;
    http_client client(context.get_executor(), {server.address()}, 30s);
    auto listed = asio::co_spawn(context, client.list("a/"), asio::use_future);
    context.run();
    cr_assert(base::ok(listed.get()));
    context.restart();
    // Without the stray bytes the connection is closed, and a second one is not
    // accepted.
    auto found = asio::co_spawn(context, client.get("a/b"), asio::use_future);
    context.run_for(1s);
    const bool taken = found.wait_for(0s) == std::future_status::ready &&
                       base::ok(found.get());
    cr_assert_not(taken);
}


// A write whose response had the status 000 or 099 counted as not received by
// the store, and was repeated.
Test(http_client, a_status_out_of_range_is_no_response)
{
    expect_broken(base::test::invalid_statuses());
}


// Guards against field names that are no tokens.
Test(http_client, a_response_with_a_broken_field_name_is_none)
{
    expect_broken(base::test::invalid_names());
}


// The same for a line that begins with a blank.
Test(http_client, a_response_with_a_folded_line_is_none)
{
    expect_broken(base::test::folded_fields());
}

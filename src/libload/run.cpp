#include "client_state.hpp"
#include "execution_check.hpp"

#include <monsoondock/load/run.hpp>
#include <monsoondock/standin/no_throw.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <optional>

namespace monsoondock::load {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

asio::awaitable<void>
send_and_record(pvt::client_state& s, request_record& r, base::time_point due)
{
    r.outcome_ = co_await pvt::send_arrival(s, *r.arrival_, due);
}


/// Starts each request at its planned time without waiting for earlier ones
/// (open loop).
asio::awaitable<void>
send_plan(pvt::client_state& s, std::vector<request_record>& records)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto start = base::boot_clock::now();
    asio::steady_timer timer(executor);
    for (request_record& r : records) {
        const auto due = start + r.arrival_->at_;
        timer.expires_after(due - base::boot_clock::now());
        co_await timer.async_wait(standin::NO_THROW);
        asio::co_spawn(executor, send_and_record(s, r, due), asio::detached);
    }
}


asio::awaitable<void> fetch_execution_counts(
    pvt::client_state& s, std::optional<pvt::execution_counts>& counts)
{
    const pvt::request q(http::verb::get, "/standin/runs", 11);
    const pvt::send_outcome result = co_await pvt::send(
        s.pool_, s.options_.verify_runs_, q, true, s.options_.timeout_);
    if (const auto* answer = std::get_if<pvt::raw_answer>(&result))
        counts = pvt::parse_execution_counts(answer->body_);
}


bool verify_executions(
    asio::io_context& context,
    pvt::client_state& s,
    std::vector<request_record>& records)
{
    std::optional<pvt::execution_counts> counts;
    context.restart();
    asio::co_spawn(context, fetch_execution_counts(s, counts), asio::detached);
    context.run();
    if (counts)
        pvt::check_executions(records, *counts);
    return counts.has_value();
}


std::vector<request_record> make_records(const std::vector<arrival>& plan)
{
    std::vector<request_record> records;
    records.reserve(plan.size());
    for (const arrival& a : plan)
        records.push_back({&a, transport_failure{"not sent"}});
    return records;
}

} // namespace

base::result<summary>
run(const run_options& options, const std::vector<arrival>& plan)
{
    asio::io_context context(1);
    pvt::client_state state(options);
    std::vector<request_record> records = make_records(plan);
    const auto start = base::boot_clock::now();
    asio::co_spawn(context, send_plan(state, records), asio::detached);
    context.run();
    const auto duration = base::boot_clock::now() - start;
    if (!options.verify_runs_.empty() &&
        !verify_executions(context, state, records))
        return base::problem{
            base::problem_code::unavailable,
            "the service stand-in did not return its execution counts",
            "check --verify_runs"};
    return summarize(
        records, options.workspaces_, options.deadlines_, duration);
}

} // namespace monsoondock::load

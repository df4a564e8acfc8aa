#include "caller.hpp"
#include "run_check.hpp"

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
call_once(pvt::caller_state& s, record& r, base::time_point due)
{
    r.outcome_ = co_await pvt::call(s, *r.arrival_, due);
}


/// Starts each request when it is due, whatever the earlier ones do.
asio::awaitable<void>
send_plan(pvt::caller_state& s, std::vector<record>& records)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto start = base::boot_clock::now();
    asio::steady_timer timer(executor);
    for (record& r : records) {
        const auto due = start + r.arrival_->at_;
        timer.expires_after(due - base::boot_clock::now());
        co_await timer.async_wait(standin::NO_THROW);
        asio::co_spawn(executor, call_once(s, r, due), asio::detached);
    }
}


asio::awaitable<void>
read_runs(pvt::caller_state& s, std::optional<pvt::run_counts>& counts)
{
    const pvt::request q(http::verb::get, "/standin/runs", 11);
    const pvt::send_outcome result = co_await pvt::send(
        s.pool_, s.options_.verify_runs_, q, true, s.options_.timeout_);
    if (const auto* answer = std::get_if<pvt::raw_answer>(&result))
        counts = pvt::parse_runs(answer->body_);
}


bool verify_runs(
    asio::io_context& context,
    pvt::caller_state& s,
    std::vector<record>& records)
{
    std::optional<pvt::run_counts> counts;
    context.restart();
    asio::co_spawn(context, read_runs(s, counts), asio::detached);
    context.run();
    if (counts)
        pvt::check_runs(records, *counts);
    return counts.has_value();
}


std::vector<record> make_records(const std::vector<arrival>& plan)
{
    std::vector<record> records;
    records.reserve(plan.size());
    for (const arrival& a : plan)
        records.push_back({&a, broken{"not sent"}});
    return records;
}

} // namespace

base::result<summary>
run(const run_options& options, const std::vector<arrival>& plan)
{
    asio::io_context context(1);
    pvt::caller_state state(options);
    std::vector<record> records = make_records(plan);
    const auto start = base::boot_clock::now();
    asio::co_spawn(context, send_plan(state, records), asio::detached);
    context.run();
    const auto duration = base::boot_clock::now() - start;
    if (!options.verify_runs_.empty() && !verify_runs(context, state, records))
        return base::problem{
            base::problem_code::unavailable,
            "the service stand-in did not tell its runs",
            "check --verify_runs"};
    return summarize(
        records, options.workspaces_, options.deadlines_, duration);
}

} // namespace monsoondock::load

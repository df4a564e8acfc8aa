#include "dispatch_leave.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/steady_timer.hpp>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using quarantine::quarantine_refusal;
using quarantine::refuse_dispatch;

constexpr std::chrono::milliseconds ASK_PERIOD{100};
constexpr std::chrono::seconds LONGEST_WAIT{10};


quarantine::dispatch_query make_dispatch_query(
    traffic_thread& thread,
    const request_context& context,
    const chat_progress& progress,
    const suspect_flight& flight)
{
    quarantine::dispatch_query q;
    q.request_ = flight.request();
    q.workspace_ = context.workspace_;
    q.deployment_ = progress.chat_.model_;
    q.prefix_ = progress.chat_.prefix_;
    q.fingerprint_ = quarantine::fingerprint_request(
        q.workspace_, q.deployment_, context.request_.body());
    const auto snapshot = thread.parts_.snapshots_.get();
    const auto now = base::boot_clock::now();
    const auto ejected = thread.router_.ejected(snapshot->groups_.size(), now);
    for (const group_row& row : snapshot->groups_)
        if (row.deployment_ == q.deployment_ && !ejected.contains(row.group_))
            q.available_groups_.push_back({row.group_, row.generation_});
    return q;
}


leave to_leave(const quarantine::permit_dispatch& permit)
{
    leave groups;
    groups.reserve(permit.groups_.size());
    for (const quarantine::group_instance& group : permit.groups_)
        groups.push_back(group.group_);
    return groups;
}


refusal to_refusal(const refuse_dispatch& source, run_state run)
{
    refusal r;
    r.status_ =
        static_cast<http::status>(quarantine::http_status(source.reason_));
    r.type_ = quarantine::to_string(source.reason_);
    r.detail_ = quarantine::describe(source.reason_);
    r.run_ = run;
    if (source.retry_after_.count() > 0)
        r.retry_after_ = source.retry_after_;
    return r;
}


// A trial of another request is over soon; a lost store is not waited for.
bool is_worth_waiting(quarantine_refusal reason)
{
    return reason == quarantine_refusal::on_trial_elsewhere ||
           reason == quarantine_refusal::no_trial_group;
}

} // namespace

asio::awaitable<leave_or_refusal> get_leave(
    traffic_thread& thread,
    const request_context& context,
    const chat_progress& progress,
    suspect_flight& flight)
{
    auto end = base::boot_clock::now() + LONGEST_WAIT;
    if (context.deadline_)
        end = std::min(end, *context.deadline_);
    asio::steady_timer timer(thread.context_);
    for (;;) {
        const auto answer = co_await flight.ask(
            make_dispatch_query(thread, context, progress, flight));
        if (const auto* p = std::get_if<quarantine::permit_dispatch>(&answer))
            co_return to_leave(*p);
        const auto& refused = std::get<refuse_dispatch>(answer);
        const bool over = base::boot_clock::now() + ASK_PERIOD > end;
        if (over || !is_worth_waiting(refused.reason_))
            co_return to_refusal(refused, progress.run_);
        timer.expires_after(ASK_PERIOD);
        co_await timer.async_wait(base::await_tuple);
    }
}

} // namespace monsoondock::traffic::pvt

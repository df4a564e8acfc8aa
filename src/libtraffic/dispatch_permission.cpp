#include "dispatch_permission.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/steady_timer.hpp>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using quarantine::quarantine_refusal;
using quarantine::refuse_dispatch;

constexpr std::chrono::milliseconds retry_period{100};
constexpr std::chrono::seconds max_wait{10};


quarantine::dispatch_query make_dispatch_query(
    traffic_thread& thread,
    const request_context& context,
    const chat_progress& progress,
    const tracked_dispatch& dispatch)
{
    quarantine::dispatch_query q;
    q.request_ = dispatch.request();
    q.workspace_ = context.workspace_;
    q.deployment_ = progress.chat_.model_;
    q.prefix_ = progress.chat_.prefix_;
    q.parts_ = progress.chat_.parts_;
    q.fingerprint_ = quarantine::fingerprint_request(
        q.workspace_, q.deployment_, context.request_.body());
    const auto snapshot = thread.options_.snapshots_.get();
    q.daemons_ = snapshot->live_daemons_.size() + 1;
    const auto now = base::boot_clock::now();
    const auto ejected = thread.router_.ejected(snapshot->groups_.size(), now);
    for (const group_row& row : snapshot->groups_)
        if (row.deployment_ == q.deployment_ && !ejected.contains(row.group_))
            q.available_groups_.push_back({row.group_, row.generation_});
    return q;
}


permitted_groups to_permitted_groups(const quarantine::permit_dispatch& permit)
{
    permitted_groups groups;
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


// A trial of another request ends soon; an unavailable store may take long, so
// that refusal is returned at once.
bool is_transient(quarantine_refusal reason)
{
    return reason == quarantine_refusal::on_trial_elsewhere ||
           reason == quarantine_refusal::no_trial_group;
}

} // namespace

asio::awaitable<permission_result> request_permission(
    traffic_thread& thread,
    const request_context& context,
    const chat_progress& progress,
    tracked_dispatch& dispatch)
{
    auto end = base::boot_clock::now() + max_wait;
    if (context.deadline_)
        end = std::min(end, *context.deadline_);
    asio::steady_timer timer(thread.context_);
    for (;;) {
        const auto answer = co_await dispatch.ask(
            make_dispatch_query(thread, context, progress, dispatch));
        if (const auto* p = std::get_if<quarantine::permit_dispatch>(&answer))
            co_return to_permitted_groups(*p);
        const auto& refused = std::get<refuse_dispatch>(answer);
        const bool over = base::boot_clock::now() + retry_period > end;
        if (over || !is_transient(refused.reason_))
            co_return to_refusal(refused, progress.run_);
        timer.expires_after(retry_period);
        co_await timer.async_wait(base::await_tuple);
    }
}

} // namespace monsoondock::traffic::pvt

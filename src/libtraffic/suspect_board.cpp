#include <monsoondock/traffic/suspect_board.hpp>

namespace monsoondock::traffic {

namespace {

using quarantine::suspect_registry;


quarantine::clock_reading now()
{
    return {
        base::boot_clock::now(),
        std::chrono::floor<std::chrono::milliseconds>(
            std::chrono::system_clock::now())};
}


// Returns the request that a command answers, or null.
const base::request_id*
answered_request(const quarantine::quarantine_command& command)
{
    if (const auto* p = std::get_if<quarantine::permit_dispatch>(&command))
        return &p->request_;
    if (const auto* r = std::get_if<quarantine::refuse_dispatch>(&command))
        return &r->request_;
    return nullptr;
}


dispatch_answer to_answer(const quarantine::quarantine_command& command)
{
    if (const auto* p = std::get_if<quarantine::permit_dispatch>(&command))
        return *p;
    return std::get<quarantine::refuse_dispatch>(command);
}

} // namespace

suspect_board::suspect_board(base::daemon_id self, std::string token_prefix)
    : registry_(std::move(self), std::move(token_prefix))
{}


void suspect_board::set_store(store_handler handler)
{
    store_ = std::move(handler);
}


template <class Call>
void suspect_board::run(const Call& call)
{
    std::vector<std::function<void()>> due;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& command : call(registry_)) {
            const auto* request = answered_request(command);
            if (request == nullptr) {
                due.emplace_back([this, command] { store_(command); });
                continue;
            }
            auto handler = waiting_.extract(*request);
            if (!handler.empty())
                due.emplace_back([h = std::move(handler.mapped()),
                                  a = to_answer(command)] { h(a); });
        }
    }
    for (const auto& handle : due)
        handle();
}


void suspect_board::ask(
    const quarantine::dispatch_query& question, answer_handler handler)
{
    run([&](suspect_registry& r) {
        waiting_[question.request_] = std::move(handler);
        return r.request_permit(question, now());
    });
}


void suspect_board::dispatched(
    const base::request_id& request, const quarantine::group_instance& group)
{
    const std::scoped_lock lock(mutex_);
    registry_.dispatched(request, group);
}


void suspect_board::completed(const base::request_id& request)
{
    run([&](suspect_registry& r) { return r.completed(request, now()); });
}


void suspect_board::trial_passed(const base::request_id& request)
{
    run([&](suspect_registry& r) { return r.trial_passed(request, now()); });
}


void suspect_board::abandoned(const base::request_id& request)
{
    run([&](suspect_registry& r) {
        waiting_.erase(request);
        return r.abandoned(request, now());
    });
}


void suspect_board::group_lost(
    const base::deployment_id& deployment,
    const quarantine::group_instance& group)
{
    run([&](suspect_registry& r) {
        r.group_lost(deployment, group, now());
        return r.tick(now());
    });
}


void suspect_board::group_withdrawn(
    const base::deployment_id& deployment,
    const quarantine::group_instance& group)
{
    const std::scoped_lock lock(mutex_);
    registry_.group_withdrawn(deployment, group, now());
}


void suspect_board::group_added(const quarantine::group_instance& group)
{
    const std::scoped_lock lock(mutex_);
    registry_.group_added(group, now());
}


void suspect_board::write_answered(
    quarantine::store_call_id id, const platform::write_outcome& outcome)
{
    run([&](suspect_registry& r) {
        return r.write_answered(id, outcome, now());
    });
}


void suspect_board::read_answered(
    quarantine::store_call_id id, const std::optional<platform::object>& object)
{
    run([&](suspect_registry& r) {
        return r.read_answered(id, object, now());
    });
}


void suspect_board::read_failed(quarantine::store_call_id id)
{
    run([&](suspect_registry& r) { return r.read_failed(id, now()); });
}


void suspect_board::feed_listed(const platform::listing& listing)
{
    run([&](suspect_registry& r) { return r.feed_listed(listing, now()); });
}


void suspect_board::feed_changed(const platform::change_batch& batch)
{
    run([&](suspect_registry& r) { return r.feed_changed(batch, now()); });
}


void suspect_board::tick()
{
    run([&](suspect_registry& r) { return r.tick(now()); });
}

} // namespace monsoondock::traffic

#include <monsoondock/traffic/shared_suspect_registry.hpp>

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


dispatch_decision to_answer(const quarantine::quarantine_command& command)
{
    if (const auto* p = std::get_if<quarantine::permit_dispatch>(&command))
        return *p;
    return std::get<quarantine::refuse_dispatch>(command);
}

} // namespace

shared_suspect_registry::shared_suspect_registry(
    base::daemon_id self, std::string token_prefix)
    : registry_(std::move(self), std::move(token_prefix))
{}


void shared_suspect_registry::set_store(store_handler handler)
{
    store_ = std::move(handler);
}


template <class Call>
void shared_suspect_registry::run(const Call& call)
{
    std::vector<std::function<void()>> deferred;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& command : call(registry_)) {
            const auto* request = answered_request(command);
            if (request == nullptr) {
                deferred.emplace_back([this, command] { store_(command); });
                continue;
            }
            auto handler = waiting_.extract(*request);
            if (!handler.empty())
                deferred.emplace_back([h = std::move(handler.mapped()),
                                       a = to_answer(command)] { h(a); });
        }
    }
    for (const auto& callback : deferred)
        callback();
}


void shared_suspect_registry::ask(
    const quarantine::dispatch_query& question, answer_handler handler)
{
    run([&](suspect_registry& r) {
        waiting_[question.request_] = std::move(handler);
        return r.request_permit(question, now());
    });
}


void shared_suspect_registry::dispatched(
    const base::request_id& request, const quarantine::group_instance& group)
{
    const std::scoped_lock lock(mutex_);
    registry_.dispatched(request, group);
}


void shared_suspect_registry::completed(const base::request_id& request)
{
    run([&](suspect_registry& r) { return r.completed(request, now()); });
}


void shared_suspect_registry::trial_passed(const base::request_id& request)
{
    run([&](suspect_registry& r) { return r.trial_passed(request, now()); });
}


void shared_suspect_registry::abandoned(const base::request_id& request)
{
    run([&](suspect_registry& r) {
        waiting_.erase(request);
        return r.abandoned(request, now());
    });
}


void shared_suspect_registry::group_lost(
    const base::deployment_id& deployment,
    const quarantine::group_instance& group)
{
    run([&](suspect_registry& r) {
        r.group_lost(deployment, group, now());
        return r.tick(now());
    });
}


void shared_suspect_registry::group_withdrawn(
    const base::deployment_id& deployment,
    const quarantine::group_instance& group)
{
    const std::scoped_lock lock(mutex_);
    registry_.group_withdrawn(deployment, group, now());
}


void shared_suspect_registry::group_added(
    const quarantine::group_instance& group)
{
    const std::scoped_lock lock(mutex_);
    registry_.group_added(group, now());
}


void shared_suspect_registry::write_answered(
    quarantine::store_call_id id, const platform::write_outcome& outcome)
{
    run([&](suspect_registry& r) {
        return r.write_answered(id, outcome, now());
    });
}


void shared_suspect_registry::read_answered(
    quarantine::store_call_id id, const std::optional<platform::object>& object)
{
    run([&](suspect_registry& r) {
        return r.read_answered(id, object, now());
    });
}


void shared_suspect_registry::read_failed(quarantine::store_call_id id)
{
    run([&](suspect_registry& r) { return r.read_failed(id, now()); });
}


void shared_suspect_registry::feed_listed(const platform::listing& listing)
{
    run([&](suspect_registry& r) { return r.feed_listed(listing, now()); });
}


void shared_suspect_registry::feed_changed(const platform::change_batch& batch)
{
    run([&](suspect_registry& r) { return r.feed_changed(batch, now()); });
}


void shared_suspect_registry::tick()
{
    run([&](suspect_registry& r) { return r.tick(now()); });
    std::vector<crashes::part_quarantine> begun;
    {
        const std::scoped_lock lock(mutex_);
        begun = registry_.take_quarantined_parts();
    }
    for (const crashes::part_quarantine& q : begun)
        crashes::log_quarantine(q);
}

} // namespace monsoondock::traffic

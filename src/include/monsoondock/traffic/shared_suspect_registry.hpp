#pragma once

#include <monsoondock/quarantine/suspect_registry.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace monsoondock::traffic {

/// Whether a request may be sent to a group, and to which ones.
using dispatch_decision =
    std::variant<quarantine::permit_dispatch, quarantine::refuse_dispatch>;


/// Thread-safe wrapper of quarantine::suspect_registry. Handlers are called
/// without the lock held, on the thread whose call caused them.
class shared_suspect_registry
{
public:
    using answer_handler = std::function<void(dispatch_decision)>;
    using store_handler =
        std::function<void(const quarantine::quarantine_command&)>;

    /// token_prefix must be unique to each incarnation of each daemon.
    shared_suspect_registry(base::daemon_id self, std::string token_prefix);


    /// Sets the handler of put_suspect, erase_suspect and read_suspect
    /// commands. Call it before any other function.
    void set_store(store_handler handler);


    /// Requests permission to dispatch. Calls handler once with the decision,
    /// possibly before the function returns; abandoned() drops a handler that
    /// still waits.
    void
    ask(const quarantine::dispatch_query& question, answer_handler handler);


    /// The functions below forward to those of suspect_registry.
    void dispatched(
        const base::request_id& request,
        const quarantine::group_instance& group);
    void completed(const base::request_id& request);
    void trial_passed(const base::request_id& request);
    void abandoned(const base::request_id& request);
    void group_lost(
        const base::deployment_id& deployment,
        const quarantine::group_instance& group);
    void group_withdrawn(
        const base::deployment_id& deployment,
        const quarantine::group_instance& group);
    void group_added(const quarantine::group_instance& group);
    void write_answered(
        quarantine::store_call_id id, const platform::write_outcome& outcome);
    void read_answered(
        quarantine::store_call_id id,
        const std::optional<platform::object>& object);
    void read_failed(quarantine::store_call_id id);
    void feed_listed(const platform::listing& listing);
    void feed_changed(const platform::change_batch& batch);
    void tick();

private:
    template <class Call>
    void run(const Call& call);

    std::mutex mutex_;
    quarantine::suspect_registry registry_;
    std::map<base::request_id, answer_handler> waiting_;
    store_handler store_;
};

} // namespace monsoondock::traffic

#pragma once

#include <monsoondock/platform/memory_store.hpp>
#include <monsoondock/settings/acceptance.hpp>
#include <monsoondock/settings/cold_start.hpp>
#include <monsoondock/settings/revision_tracker.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoondock::settings::exploration {

/// Options of the explored classes; the defaults are those in production.
struct explored_options
{
    acceptance_options acceptance_;
    tracker_options tracker_;
};


/// Simulates operators, daemons and one store with injected faults. All random
/// choices follow from one seed.
class simulation
{
public:
    simulation(std::uint64_t seed, explored_options options);


    /// Runs random steps, then completes all calls without faults. Returns the
    /// first violated invariant, or nothing.
    std::optional<std::string> run(int steps);

private:
    struct operator_state
    {
        std::optional<acceptance> acceptance_;
        settings_edit edit_;
        std::deque<store_call> calls_;
    };

    struct daemon_state
    {
        revision_tracker tracker_;
        revision highest_in_force_;
        std::deque<std::string> fetches_;
        std::deque<platform::object> store_heads_;
        std::deque<settings_bundle> peer_bundles_;
        cold_start start_;
    };

    struct accepted_edit
    {
        revision revision_;
        std::string token_;
    };

    std::uint64_t random_below(std::uint64_t count);

    bool chance(std::uint64_t percent);

    void step();

    void start_edit(operator_state& op);

    void make_call(operator_state& op);

    void answer(operator_state& op, const store_answer& a);

    platform::write_outcome write(const write_object& w, bool lossy);

    void execute(const write_object& w);

    void check_accepted_head(const platform::object& object);

    void record_outcome(const operator_state& op);

    void delete_superseded();

    std::optional<settings_index> read_index(revision at) const;

    void poll(daemon_state& d);

    void deliver(daemon_state& d);

    void fetch(daemon_state& d);

    void restart(std::size_t index);

    void check(daemon_state& d);

    void run_to_completion();

    void check_reported_outcomes();

    void fail(const std::string& what);

    explored_options options_;
    std::mt19937_64 random_;
    platform::memory_store store_;
    bool store_down_ = false;
    bool inject_faults_ = true;
    std::vector<operator_state> operators_;
    std::vector<daemon_state> daemons_;
    std::vector<write_object> late_writes_;
    std::map<revision, settings_tree> accepted_trees_;
    std::map<std::string, revision> accepted_tokens_;
    std::vector<accepted_edit> reported_accepted_;
    std::vector<std::string> reported_not_accepted_;
    std::map<std::string, std::vector<tree_change>> edits_;
    int edit_count_ = 0;
    std::optional<std::string> failure_;
};

} // namespace monsoondock::settings::exploration

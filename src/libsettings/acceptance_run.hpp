#pragma once

#include <monsoondock/settings/acceptance.hpp>
#include <monsoondock/settings/settings_head.hpp>
#include <monsoondock/settings/settings_index.hpp>
#include <monsoondock/settings/settings_tree.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::settings::pvt {

/// Head object as it was read; without a version when it does not exist.
struct head_state
{
    std::optional<platform::version> version_;
    settings_head head_;
};


/// What an acceptance knows while it runs.
struct acceptance_run
{
    settings_edit edit_;
    acceptance_options options_;
    std::optional<acceptance_outcome> outcome_;
    /// Calls made and not answered, by key.
    std::map<std::string, store_call> open_;
    /// Calls to hand to the owner.
    std::vector<store_call> calls_;
    std::uint32_t failures_ = 0;
    std::uint32_t rebases_ = 0;
    head_state current_;
    /// Index of the current head.
    settings_index index_;
    /// Nodes of the current index that were read.
    std::map<node_path, settings_node> nodes_;
    /// Revision and head that the edit is to become.
    settings_head candidate_;
    /// Tree that the edit makes of the current one.
    settings_tree candidate_tree_;
    /// Text of each node object and of the index object of the candidate that
    /// is not written yet.
    std::map<std::string, std::string> unwritten_;
    /// True once a head write got no answer and was not resolved.
    bool head_in_doubt_ = false;
};


/// Asks the owner to make a call.
void ask(acceptance_run& run, store_call call);


/// Returns the head that an object holds, or the faults in it.
checked<head_state> read_head(const std::optional<platform::object>& object);


/// Returns the keys of the nodes of the current index that are not known.
std::vector<std::string> missing_nodes(const acceptance_run& run);


/// Applies the edit to the current tree. Sets the outcome when that ends the
/// edit, or else the candidate.
void decide(acceptance_run& run);


/// Gives the candidate the next higher revision, because an object of an
/// edit that was never accepted has the key of one of its nodes.
void raise_candidate(acceptance_run& run);


/// Returns the call that writes the candidate's head.
store_call head_write(const acceptance_run& run);

} // namespace monsoondock::settings::pvt

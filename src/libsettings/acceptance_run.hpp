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

/// Head object as read; the version is absent when the object does not exist.
struct head_state
{
    std::optional<platform::version> version_;
    settings_head head_;
};


/// State of a running acceptance.
struct acceptance_run
{
    settings_edit edit_;
    acceptance_options options_;
    std::optional<acceptance_outcome> outcome_;
    /// Calls without an answer so far, by key.
    std::map<std::string, store_call> pending_calls_;
    /// Calls to return to the owner.
    std::vector<store_call> new_calls_;
    std::uint32_t failures_ = 0;
    std::uint32_t rebases_ = 0;
    head_state current_;
    /// Index of the current head.
    settings_index index_;
    /// Nodes read so far; those of an earlier head are reused.
    std::map<node_path, settings_node> nodes_;
    /// Head to write, with the revision that the edit takes.
    settings_head candidate_;
    /// Current tree with the edit applied.
    settings_tree candidate_tree_;
    /// Texts of the node and index objects of the candidate that are not yet
    /// written, by key.
    std::map<std::string, std::string> unwritten_;
    /// True while the result of a head write is unknown.
    bool head_in_doubt_ = false;
};


/// Adds a call for the owner to make.
void request_call(acceptance_run& run, store_call call);


/// Decodes the head object, or returns its faults.
checked<head_state> read_head(const std::optional<platform::object>& object);


/// Returns the keys of the nodes of the current index that are not yet read.
std::vector<std::string> missing_nodes(const acceptance_run& run);


/// Applies the edit to the current tree and sets the candidate, or the outcome
/// when the edit ends there.
void apply_edit(acceptance_run& run);


/// Gives the candidate the next higher revision, because an edit that was never
/// accepted left an object under one of the candidate's keys.
void increment_candidate_revision(acceptance_run& run);


/// Returns the call that writes the candidate's head.
store_call head_write(const acceptance_run& run);

} // namespace monsoondock::settings::pvt

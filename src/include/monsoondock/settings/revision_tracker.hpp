#pragma once

#include <monsoondock/platform/object.hpp>
#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/settings_bundle.hpp>
#include <monsoondock/settings/settings_index.hpp>
#include <monsoondock/settings/settings_tree.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::settings {

/// Options of a revision_tracker.
struct tracker_options
{
    /// False lets an older revision replace a newer one. Tests use it to show
    /// that they detect the fault.
    bool refuse_older_ = true;
};


/// Event counts of a tracker since its construction.
struct tracker_counts
{
    /// Heads whose revision is not above the one in force or pending.
    std::uint64_t refused_ = 0;
    /// Revisions that came into force.
    std::uint64_t applied_ = 0;
    /// Revisions refused because their index, nodes or tree was not valid.
    std::uint64_t invalid_ = 0;
};


/// Tracks the accepted settings in one daemon. It takes heads from the store's
/// watch and from peers in any order, names the objects to fetch (the index
/// when the head does not list all changes, then nodes) and puts a revision
/// into force once all its nodes have been fetched and the tree is valid. The
/// revision in force only increases. Not safe for concurrent use; the tree that
/// it returns is immutable.
class revision_tracker
{
public:
    explicit revision_tracker(tracker_options options = {});


    /// Takes a head and the version of its object. Returns the keys of the
    /// objects to fetch.
    std::vector<std::string>
    on_head(const settings_head& head, platform::version version);


    /// Takes a head with its nodes from a peer.
    void on_bundle(const settings_bundle& bundle);


    /// Takes a fetched object. One written after the head counts as missing:
    /// the objects of a head are written before it, so a later one is a
    /// delayed write of another edit to a key that had been deleted.
    void on_object(const platform::object& object);


    /// Records that the store has no such object. The pending revision is then
    /// discarded, because a newer head must have replaced it.
    void on_missing(std::string_view key);


    /// Returns the keys of the objects that remain to be fetched.
    std::vector<std::string> missing_keys() const;


    /// Returns the tree in force, or null before the first.
    const std::shared_ptr<const settings_tree>& in_force() const
    {
        return in_force_;
    }


    /// Returns the revision in force; 0 before the first.
    revision in_force_revision() const;


    /// Returns the highest revision known: the pending one, or else the one in
    /// force.
    revision latest() const;


    /// Returns the revision in force as a bundle to send to a peer, or nothing
    /// before the first.
    std::optional<settings_bundle> bundle() const;


    /// Returns the faults of the latest revision that was not valid; empty
    /// when a later one is in force.
    const findings& faults() const
    {
        return faults_;
    }


    /// Returns the event counts.
    const tracker_counts& counts() const
    {
        return counts_;
    }

private:
    struct pending_revision
    {
        settings_head head_;
        /// Version of the head object; 0 for a head from a peer.
        platform::version version_;
        /// Absent until the index object has been fetched.
        std::optional<settings_index> index_;
    };

    bool is_new(const settings_head& head) const;

    void on_index(std::string_view text);

    void on_node(std::string_view text);

    void store_node(settings_node node);

    void reject(findings faults);

    void try_apply();

    tracker_options options_;
    tracker_counts counts_;
    findings faults_;
    settings_head head_;
    std::optional<pending_revision> pending_;
    /// Index of the tree in force.
    settings_index index_;
    std::map<node_path, settings_node> fetched_;
    std::shared_ptr<const settings_tree> in_force_;
};

} // namespace monsoondock::settings

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

/// Behaviour of a revision_tracker.
struct tracker_options
{
    /// False lets an older revision replace a newer one, for tests of the
    /// tests.
    bool refuse_older_ = true;
};


/// What a tracker has met since it was made.
struct tracker_counts
{
    /// Heads with a revision that is not above the one in force or on its way.
    std::uint64_t refused_ = 0;
    /// Revisions that came into force.
    std::uint64_t applied_ = 0;
    /// Revisions whose nodes were not valid.
    std::uint64_t invalid_ = 0;
};


/// Reader's side of the settings in one daemon. It learns heads from the
/// store's watch and from peers in any order, names the objects to fetch (the
/// index where the head does not list all changes, then nodes) and puts a
/// revision into force when all its nodes are there and the whole is valid. The
/// revision in force only grows. Not safe for concurrent use; the tree it gives
/// out is immutable.
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


    /// Takes an object that was fetched. One written after the head counts as
    /// missing: objects of a head are written before it, so this one is a late
    /// write of another edit to a key that had been deleted.
    void on_object(const platform::object& object);


    /// Notes that the store has no such object. A newer head has replaced the
    /// one on its way then, so this one is given up.
    void on_missing(std::string_view key);


    /// Returns the keys of the objects that are still missing.
    std::vector<std::string> missing_keys() const;


    /// Returns the tree in force, or null before the first.
    const std::shared_ptr<const settings_tree>& in_force() const
    {
        return in_force_;
    }


    /// Returns the revision in force; 0 before the first.
    revision in_force_revision() const;


    /// Returns the highest revision learnt of, in force or not.
    revision latest() const;


    /// Returns what is in force for a peer, or nothing before the first.
    std::optional<settings_bundle> bundle() const;


    /// Returns the faults of the latest revision that was not valid; empty
    /// when a later one is in force.
    const findings& faults() const
    {
        return faults_;
    }


    /// Returns the counts since the tracker was made.
    const tracker_counts& counts() const
    {
        return counts_;
    }

private:
    struct pending_revision
    {
        settings_head head_;
        /// Version of the head object; 0 for a head of a peer.
        platform::version version_;
        /// Absent until the index object has been fetched.
        std::optional<settings_index> index_;
    };

    bool is_new(const settings_head& head) const;

    void on_index(std::string_view text);

    void on_node(std::string_view text);

    void keep_node(settings_node node);

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

#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/revision.hpp>
#include <monsoondock/settings/tree_change.hpp>

#include <string>
#include <variant>
#include <vector>

namespace monsoondock::settings {

/// The edit is part of this revision and of every later one.
struct accepted
{
    revision revision_;
};


/// The tree has all the values already; nothing was written.
struct unchanged
{
    revision revision_;
};


/// Others changed the same keys; nothing was accepted.
struct edit_conflict
{
    /// Revision that has the other values.
    revision revision_;
    std::vector<change_conflict> conflicts_;
};


/// The tree would not be valid; nothing was accepted.
struct invalid_edit
{
    findings faults_;
};


/// The store gave no answer; the edit was not and will not be accepted.
struct not_accepted
{
    std::string reason_;
};


/// The store gave no answer after the head was sent; the edit may be
/// accepted or may still become so.
struct acceptance_unknown
{
    std::string reason_;
};

/// How an edit ended.
using acceptance_outcome = std::variant<
    accepted,
    unchanged,
    edit_conflict,
    invalid_edit,
    not_accepted,
    acceptance_unknown>;

} // namespace monsoondock::settings

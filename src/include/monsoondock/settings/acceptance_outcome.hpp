#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/revision.hpp>
#include <monsoondock/settings/tree_change.hpp>

#include <string>
#include <variant>
#include <vector>

namespace monsoondock::settings {

/// The edit was accepted as this revision.
struct accepted
{
    revision revision_;
};


/// The tree already has all the values; nothing was written.
struct unchanged
{
    revision revision_;
};


/// Other edits changed the same keys; the edit was not accepted.
struct edit_conflict
{
    /// Revision that has the other values.
    revision revision_;
    std::vector<change_conflict> conflicts_;
};


/// The edited tree is not valid; the edit was not accepted.
struct invalid_edit
{
    findings faults_;
};


/// The store did not answer, or other edits were accepted first too often.
/// The edit was not accepted and will not be.
struct not_accepted
{
    std::string reason_;
};


/// The head write got no answer, and its result could not be read back. The
/// edit may have been accepted or may still be.
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

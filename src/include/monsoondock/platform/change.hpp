#pragma once

#include <monsoondock/platform/object.hpp>

#include <vector>

namespace monsoondock::platform {

/// One accepted write or delete as a watch reports it.
struct change
{
    object object_;
    /// True when the object was deleted; its value is then empty.
    bool deleted_ = false;

    friend bool operator==(const change&, const change&) = default;
};


/// Answer of a watch: the changes after the version asked from, oldest first,
/// and the version to ask from next.
struct change_batch
{
    version next_;
    std::vector<change> changes_;
};

} // namespace monsoondock::platform

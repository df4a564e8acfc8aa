#pragma once

#include <monsoondock/platform/object.hpp>

#include <vector>

namespace monsoondock::platform {

/// One write or delete in the platform's store, as reported by a watch.
struct change
{
    object object_;
    /// True when the object was deleted; its value is then empty.
    bool deleted_ = false;

    friend bool operator==(const change&, const change&) = default;
};


/// Response to a watch: the changes after the requested version, oldest first,
/// and the version from which to continue.
struct change_batch
{
    version next_;
    std::vector<change> changes_;
};

} // namespace monsoondock::platform

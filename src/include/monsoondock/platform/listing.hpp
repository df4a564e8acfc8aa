#pragma once

#include <monsoondock/platform/object.hpp>

#include <vector>

namespace monsoondock::platform {

/// All objects whose keys begin with a prefix, in key order, and the store
/// version at which they were read. A watch from that version reports every
/// later change.
struct listing
{
    version version_;
    std::vector<object> objects_;
};

} // namespace monsoondock::platform

#pragma once

#include <monsoondock/platform/object.hpp>

#include <variant>

namespace monsoondock::platform {

/// The write succeeds only when no object has the key.
struct if_absent
{};


/// The write succeeds only when the object still has this version.
struct if_version
{
    version version_;
};

/// Condition that every write carries.
using write_condition = std::variant<if_absent, if_version>;

} // namespace monsoondock::platform

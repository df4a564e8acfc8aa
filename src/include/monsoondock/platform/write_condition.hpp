#pragma once

#include <monsoondock/platform/object.hpp>

#include <variant>

namespace monsoondock::platform {

/// The write succeeds only if no object exists at the key.
struct if_absent
{};


/// The write succeeds only if the object still has this version.
struct if_version
{
    version version_;
};

/// Precondition of a write; every write has one.
using write_condition = std::variant<if_absent, if_version>;

} // namespace monsoondock::platform

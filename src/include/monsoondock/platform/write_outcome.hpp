#pragma once

#include <monsoondock/platform/object.hpp>

#include <string>
#include <variant>

namespace monsoondock::platform {

/// The write succeeded; version_ is the resulting version.
struct written
{
    version version_;
};


/// The condition did not hold; nothing was written.
struct condition_failed
{};


/// The store could not be reached or rejected the request; nothing was written.
struct not_reached
{
    std::string reason_;
};


/// The request may have been sent, but no valid response was received; the
/// write may have taken effect.
struct answer_lost
{
    std::string reason_;
};

/// Outcome of a write. Callers must distinguish not_reached from answer_lost:
/// only after not_reached is it safe to simply retry a create.
using write_outcome =
    std::variant<written, condition_failed, not_reached, answer_lost>;

} // namespace monsoondock::platform

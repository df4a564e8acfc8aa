#pragma once

#include <monsoondock/platform/object.hpp>

#include <string>
#include <variant>

namespace monsoondock::platform {

/// The write took effect and the object has this version now.
struct written
{
    version version_;
};


/// The condition did not hold; nothing was written.
struct condition_failed
{};


/// The store refused the call before doing anything, or was not reached at
/// all; nothing was written.
struct not_reached
{
    std::string reason_;
};


/// The call was sent but its answer was lost; the write may have taken effect.
struct answer_lost
{
    std::string reason_;
};

/// Every way in which a write can end. A caller must tell not_reached from
/// answer_lost: only after the former is a plain retry of a create safe.
using write_outcome =
    std::variant<written, condition_failed, not_reached, answer_lost>;

} // namespace monsoondock::platform

#pragma once

#include <chrono>

namespace monsoondock::settings {

/// Settings of one priority class.
template <template <class> class Wrap>
struct class_settings
{
    /// Time from arrival to the end of the response, for requests that carry
    /// no deadline of their own.
    Wrap<std::chrono::milliseconds> deadline_;
    /// Maximum time in a queue.
    Wrap<std::chrono::milliseconds> max_wait_;
};

} // namespace monsoondock::settings

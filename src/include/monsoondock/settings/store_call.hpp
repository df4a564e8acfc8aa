#pragma once

#include <monsoondock/platform/write_condition.hpp>

#include <chrono>
#include <string>
#include <variant>

namespace monsoondock::settings {

/// Reads one object.
struct read_object
{
    std::string key_;
};


/// Writes one object conditionally.
struct write_object
{
    std::string key_;
    std::string value_;
    platform::write_condition condition_;
};


/// Call to the platform's store that a state machine requests.
struct store_call
{
    std::variant<read_object, write_object> what_;
    /// Delay before the call is made.
    std::chrono::milliseconds delay_{};
};


/// Returns the key of the object that a call reads or writes.
const std::string& key_of(const store_call& call);

} // namespace monsoondock::settings

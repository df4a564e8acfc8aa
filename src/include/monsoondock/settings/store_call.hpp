#pragma once

#include <monsoondock/platform/write_condition.hpp>

#include <chrono>
#include <string>
#include <variant>

namespace monsoondock::settings {

/// Read one object.
struct read_object
{
    std::string key_;
};


/// Write one object under a condition.
struct write_object
{
    std::string key_;
    std::string value_;
    platform::write_condition condition_;
};


/// Call to the platform's store that a state machine asks for.
struct store_call
{
    std::variant<read_object, write_object> what_;
    /// Time to wait before the call is made.
    std::chrono::milliseconds delay_{};
};


/// Returns the key that a call is about.
const std::string& key_of(const store_call& call);

} // namespace monsoondock::settings

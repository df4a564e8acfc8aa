#pragma once

#include <monsoondock/platform/object.hpp>
#include <monsoondock/platform/write_outcome.hpp>

#include <optional>
#include <string>
#include <variant>

namespace monsoondock::settings {

/// The read succeeded; the object is absent when the key has none.
struct object_read
{
    std::string key_;
    std::optional<platform::object> object_;
};


/// The read got no answer.
struct read_failed
{
    std::string key_;
};


/// The write ended with this outcome, possibly without an answer.
struct write_finished
{
    std::string key_;
    platform::write_outcome outcome_;
};

/// Answer to a store_call.
using store_answer = std::variant<object_read, read_failed, write_finished>;

} // namespace monsoondock::settings

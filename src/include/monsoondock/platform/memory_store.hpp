#pragma once

#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>
#include <monsoondock/platform/write_condition.hpp>
#include <monsoondock/platform/write_outcome.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::platform {

/// The semantics of the platform's object API, held in memory: the core of
/// the platform stand-in and of tests. It is not safe for concurrent use.
class memory_store
{
public:
    /// Returns the object at key, or nothing.
    std::optional<object> get(std::string_view key) const;


    /// Returns the objects whose keys begin with prefix.
    listing list(std::string_view prefix) const;


    /// Writes value at key when condition holds. Returns written or
    /// condition_failed, never another outcome.
    write_outcome
    put(std::string_view key, std::string value, write_condition condition);


    /// Deletes the object at key when it has the version expected. Returns
    /// written with the version of the deletion, or condition_failed.
    write_outcome erase(std::string_view key, version expected);


    /// Returns the changes after from to keys that begin with prefix, or
    /// nothing when from is older than the history kept: list again then.
    std::optional<change_batch>
    changes_since(std::string_view prefix, version from) const;


    /// Returns the version of the latest write.
    version current() const noexcept
    {
        return version_;
    }

private:
    /// Number of changes kept for watches that fall behind.
    static constexpr std::size_t history_limit = 20000;

    void record(change c);

    version version_;
    version forgotten_;
    std::map<std::string, object, std::less<>> objects_;
    std::deque<change> history_;
};

} // namespace monsoondock::platform

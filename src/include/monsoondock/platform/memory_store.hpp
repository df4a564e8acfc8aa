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

/// In-memory implementation of the platform's object API, used by the platform
/// stand-in and by tests. Not thread-safe.
class memory_store
{
public:
    /// Returns the object at key; std::nullopt when there is none.
    std::optional<object> get(std::string_view key) const;


    /// Returns the objects whose keys begin with prefix.
    listing list(std::string_view prefix) const;


    /// Writes value at key if condition holds. Returns only written or
    /// condition_failed.
    write_outcome
    put(std::string_view key, std::string value, write_condition condition);


    /// Deletes the object at key if its version is expected. Returns written
    /// with the version of the deletion, or condition_failed.
    write_outcome erase(std::string_view key, version expected);


    /// Returns the changes after version from to keys that begin with prefix;
    /// std::nullopt when from is older than the retained history, in which case
    /// the caller must list the objects again.
    std::optional<change_batch>
    changes_since(std::string_view prefix, version from) const;


    /// Returns the version of the latest write.
    version current() const noexcept
    {
        return version_;
    }

private:
    /// Number of changes retained for watches that fall behind.
    static constexpr std::size_t max_retained_changes = 20000;

    void record(change c);

    version version_;
    /// Version of the latest change discarded from the history.
    version latest_discarded_;
    std::map<std::string, object, std::less<>> objects_;
    std::deque<change> history_;
};

} // namespace monsoondock::platform

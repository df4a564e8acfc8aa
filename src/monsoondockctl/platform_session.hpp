#pragma once

#include "options.hpp"

#include <monsoondock/base/result.hpp>
#include <monsoondock/platform/listing.hpp>
#include <monsoondock/platform/write_condition.hpp>
#include <monsoondock/platform/write_outcome.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoondockctl {

/// Blocking client of the platform's object store.
class platform_session
{
public:
    /// Sends its calls to the addresses of --platform.
    explicit platform_session(const options& o);
    ~platform_session();


    /// Result of reading one object; nothing when it does not exist.
    using object_result =
        monsoondock::base::result<std::optional<monsoondock::platform::object>>;


    /// Reads one object.
    object_result get(const std::string& key);


    /// Reads several objects concurrently; results in the order of keys.
    std::vector<object_result> get_all(const std::vector<std::string>& keys);


    /// Reads the objects whose keys begin with prefix.
    monsoondock::base::result<monsoondock::platform::listing>
    list(const std::string& prefix);


    /// Writes one object under a condition.
    monsoondock::platform::write_outcome
    put(const std::string& key,
        const std::string& value,
        monsoondock::platform::write_condition condition);


    /// Deletes one object if it has the expected version.
    monsoondock::platform::write_outcome
    erase(const std::string& key, monsoondock::platform::version expected);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondockctl

#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::daemon {

/// JSON pages served by `GET /admin/<page>`. The control thread writes them and
/// traffic threads read them. Thread-safe.
class admin_pages
{
public:
    /// Publishes the JSON text of a page such as "members", replacing the old
    /// one.
    void publish(const std::string& page, std::string json);


    /// Returns the JSON text of the page that a request target
    /// (`/admin/<page>`) names, or nothing for an unknown page. A query in the
    /// target is ignored.
    std::optional<std::string> find(std::string_view target) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::string, std::less<>> pages_;
};

} // namespace monsoondock::daemon

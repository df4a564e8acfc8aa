#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::daemon {

/// The pages that `GET /admin/<page>` shows. The control thread posts them
/// as JSON; traffic threads read them. Safe for use by several threads.
class admin_board
{
public:
    /// Replaces the JSON text of a page such as "members".
    void post(const std::string& page, std::string json);


    /// Returns the page that target (`/admin/<page>`, a query is ignored)
    /// names, or nothing.
    std::optional<std::string> read(std::string_view target) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::string, std::less<>> pages_;
};

} // namespace monsoondock::daemon

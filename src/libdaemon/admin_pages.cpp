#include "admin_pages.hpp"

namespace monsoondock::daemon {

namespace {

constexpr std::string_view path_prefix = "/admin/";

} // namespace

void admin_pages::publish(const std::string& page, std::string json)
{
    const std::lock_guard lock(mutex_);
    pages_[page] = std::move(json);
}


std::optional<std::string> admin_pages::find(std::string_view target) const
{
    if (!target.starts_with(path_prefix))
        return std::nullopt;
    target.remove_prefix(path_prefix.size());
    const std::string_view page = target.substr(0, target.find('?'));
    const std::lock_guard lock(mutex_);
    const auto found = pages_.find(page);
    if (found == pages_.end())
        return std::nullopt;
    return found->second;
}

} // namespace monsoondock::daemon

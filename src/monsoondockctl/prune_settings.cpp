#include "prune_settings.hpp"

#include "current_tree.hpp"

#include <monsoondock/settings/settings_index.hpp>

namespace monsoondockctl {

namespace base = monsoondock::base;
namespace settings = monsoondock::settings;

namespace {

std::optional<settings::settings_index>
read_index(platform_session& session, settings::revision at)
{
    const auto read = session.get(settings::index_object_key(at));
    if (!base::ok(read) || !base::value(read))
        return std::nullopt;
    auto index = settings::parse_index_json(base::value(read)->value_);
    if (!std::holds_alternative<settings::settings_index>(index))
        return std::nullopt;
    return std::get<settings::settings_index>(std::move(index));
}


void delete_object(platform_session& session, const std::string& key)
{
    const auto read = session.get(key);
    if (base::ok(read) && base::value(read))
        session.erase(key, base::value(read)->version_);
}

} // namespace

void prune_settings(platform_session& session)
{
    const auto head = read_head(session);
    if (!base::ok(head))
        return;
    const settings::settings_head& accepted_head = base::value(head);
    if (accepted_head.before_history_ == settings::revision{} ||
        accepted_head.history_.empty())
        return;
    const auto older = read_index(session, accepted_head.before_history_);
    const auto newer =
        read_index(session, accepted_head.history_.front().revision_);
    if (!older || !newer)
        return;
    for (const std::string& key : superseded_keys(*older, *newer))
        delete_object(session, key);
}

} // namespace monsoondockctl

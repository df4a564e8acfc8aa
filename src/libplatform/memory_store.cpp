#include <monsoondock/platform/memory_store.hpp>

#include <utility>

namespace monsoondock::platform {

namespace {

bool has_prefix(std::string_view key, std::string_view prefix)
{
    return key.substr(0, prefix.size()) == prefix;
}

} // namespace

std::optional<object> memory_store::get(std::string_view key) const
{
    const auto found = objects_.find(key);
    if (found == objects_.end())
        return std::nullopt;
    return found->second;
}


listing memory_store::list(std::string_view prefix) const
{
    listing result{version_, {}};
    for (auto it = objects_.lower_bound(prefix);
         it != objects_.end() && has_prefix(it->first, prefix);
         ++it)
        result.objects_.push_back(it->second);
    return result;
}


write_outcome memory_store::put(
    std::string_view key, std::string value, write_condition condition)
{
    const auto found = objects_.find(key);
    if (std::holds_alternative<if_absent>(condition)) {
        if (found != objects_.end())
            return condition_failed{};
    } else {
        const version expected = std::get<if_version>(condition).version_;
        if (found == objects_.end() || found->second.version_ != expected)
            return condition_failed{};
    }
    ++version_.value_;
    object stored{std::string(key), version_, std::move(value)};
    objects_[stored.key_] = stored;
    record(change{std::move(stored), false});
    return written{version_};
}


write_outcome memory_store::erase(std::string_view key, version expected)
{
    const auto found = objects_.find(key);
    if (found == objects_.end() || found->second.version_ != expected)
        return condition_failed{};
    objects_.erase(found);
    ++version_.value_;
    record(change{object{std::string(key), version_, {}}, true});
    return written{version_};
}


std::optional<change_batch>
memory_store::changes_since(std::string_view prefix, version from) const
{
    if (from < latest_discarded_)
        return std::nullopt;
    change_batch batch{version_, {}};
    // The history is sorted by version, so the newer changes are at its end.
    auto first = history_.end();
    while (first != history_.begin()) {
        const auto before = std::prev(first);
        if (before->object_.version_ <= from)
            break;
        first = before;
    }
    for (; first != history_.end(); ++first) {
        if (has_prefix(first->object_.key_, prefix))
            batch.changes_.push_back(*first);
    }
    return batch;
}


void memory_store::record(change c)
{
    history_.push_back(std::move(c));
    if (history_.size() <= max_retained_changes)
        return;
    latest_discarded_ = history_.front().object_.version_;
    history_.pop_front();
}

} // namespace monsoondock::platform

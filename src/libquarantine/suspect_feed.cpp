#include <monsoondock/quarantine/suspect_feed.hpp>

#include <algorithm>

namespace monsoondock::quarantine {

namespace {

std::optional<suspect_fingerprint> fingerprint_of(std::string_view key)
{
    if (!key.starts_with(SUSPECT_PREFIX))
        return std::nullopt;
    key.remove_prefix(SUSPECT_PREFIX.size());
    return suspect_fingerprint{std::string(key)};
}

} // namespace


void suspect_feed::insert(const platform::object& object)
{
    const auto fingerprint = fingerprint_of(object.key_);
    auto decoded = decode_suspect(object.value_);
    if (!fingerprint || !base::ok(decoded))
        return;
    suspects_[*fingerprint] = {
        base::value(std::move(decoded)), object.version_};
}


void suspect_feed::apply(const platform::listing& listing)
{
    suspects_.clear();
    for (const platform::object& object : listing.objects_)
        insert(object);
    version_ = listing.version_;
}


void suspect_feed::apply(const platform::change_batch& batch)
{
    for (const platform::change& change : batch.changes_) {
        if (change.object_.version_ <= version_)
            continue;
        if (!change.deleted_) {
            insert(change.object_);
            continue;
        }
        if (const auto deleted = fingerprint_of(change.object_.key_))
            suspects_.erase(*deleted);
    }
    version_ = std::max(version_, batch.next_);
}


const stored_suspect*
suspect_feed::find(const suspect_fingerprint& fingerprint) const noexcept
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? nullptr : &found->second;
}

} // namespace monsoondock::quarantine

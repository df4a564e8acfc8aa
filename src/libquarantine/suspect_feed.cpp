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
    if (object.key_ == PART_RECORD_KEY) {
        auto parts = decode_part_record(object.value_);
        if (base::ok(parts))
            parts_ = base::value(std::move(parts));
        parts_version_ = object.version_;
        return;
    }
    const auto fingerprint = fingerprint_of(object.key_);
    auto decoded = decode_suspect(object.value_);
    if (!fingerprint || !base::ok(decoded))
        return;
    suspects_[*fingerprint] = {
        base::value(std::move(decoded)), object.version_};
}


void suspect_feed::erase(std::string_view key)
{
    if (key == PART_RECORD_KEY) {
        parts_ = {};
        parts_version_.reset();
    } else if (const auto deleted = fingerprint_of(key)) {
        suspects_.erase(*deleted);
    }
}


void suspect_feed::apply(const platform::listing& listing)
{
    suspects_.clear();
    parts_ = {};
    parts_version_.reset();
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
        erase(change.object_.key_);
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

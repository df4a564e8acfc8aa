#pragma once

#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>
#include <monsoondock/quarantine/part_record.hpp>
#include <monsoondock/quarantine/suspect_record.hpp>

#include <map>
#include <optional>
#include <string_view>

namespace monsoondock::quarantine {

/// A suspect record at one version of the store.
struct stored_suspect
{
    suspect_record record_;
    platform::version version_;
};


/// Local copy of all suspect records of the store as of one version. It is
/// filled from a listing and kept up to date by a watch.
class suspect_feed
{
public:
    /// Replaces the copy with a listing of SUSPECT_PREFIX. Records that cannot
    /// be parsed are skipped.
    void apply(const platform::listing& listing);


    /// Applies the changes that are newer than version(). Records that cannot
    /// be parsed are skipped.
    void apply(const platform::change_batch& batch);


    /// Returns the suspect record, or null when there is none.
    const stored_suspect*
    find(const suspect_fingerprint& fingerprint) const noexcept;


    /// Returns all suspect records, ordered by fingerprint.
    const std::map<suspect_fingerprint, stored_suspect>& all() const noexcept
    {
        return suspects_;
    }


    /// Returns the record of parts of prompts; empty when there is none.
    const part_record& parts() const noexcept
    {
        return parts_;
    }


    /// Returns the store version of that record; nothing when there is none.
    const std::optional<platform::version>& parts_version() const noexcept
    {
        return parts_version_;
    }


    /// Returns the store version up to which all changes are applied.
    platform::version version() const noexcept
    {
        return version_;
    }

private:
    void insert(const platform::object& object);
    void erase(std::string_view key);

    part_record parts_;
    std::optional<platform::version> parts_version_;
    std::map<suspect_fingerprint, stored_suspect> suspects_;
    platform::version version_;
};

} // namespace monsoondock::quarantine

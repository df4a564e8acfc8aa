#pragma once

#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>
#include <monsoondock/quarantine/suspect_record.hpp>

#include <map>

namespace monsoondock::quarantine {

/// A suspect as the store holds it at a version.
struct stored_suspect
{
    suspect_record record_;
    platform::version version_;
};


/// Copy of all suspects of the store, as of one version, kept by a watch.
class suspect_feed
{
public:
    /// Replaces everything by a listing of SUSPECT_PREFIX.
    void apply(const platform::listing& listing);


    /// Applies the changes after the version reached. Records that can't be
    /// read are left out.
    void apply(const platform::change_batch& batch);


    /// Returns the suspect, or null.
    const stored_suspect*
    find(const suspect_fingerprint& fingerprint) const noexcept;


    /// Returns every suspect in the order of fingerprints.
    const std::map<suspect_fingerprint, stored_suspect>& all() const noexcept
    {
        return suspects_;
    }


    /// Returns the version up to which every change is applied.
    platform::version version() const noexcept
    {
        return version_;
    }

private:
    void insert(const platform::object& object);

    std::map<suspect_fingerprint, stored_suspect> suspects_;
    platform::version version_;
};

} // namespace monsoondock::quarantine

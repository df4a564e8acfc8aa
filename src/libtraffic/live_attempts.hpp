#pragma once

#include <monsoondock/claims/claim_record.hpp>

#include <mutex>
#include <set>

namespace monsoondock::traffic::pvt {

/// Tokens of the claimed attempts in progress on this daemon. Thread-safe.
class live_attempts
{
public:
    /// Adds an attempt. Call it before the claim is written.
    void add(const claims::attempt_token& token)
    {
        const std::scoped_lock lock(mutex_);
        tokens_.insert(token);
    }


    /// Removes an attempt that has finished.
    void remove(const claims::attempt_token& token)
    {
        const std::scoped_lock lock(mutex_);
        tokens_.erase(token);
    }


    /// Returns true while the attempt is in progress.
    bool contains(const claims::attempt_token& token) const
    {
        const std::scoped_lock lock(mutex_);
        return tokens_.contains(token);
    }

private:
    mutable std::mutex mutex_;
    std::set<claims::attempt_token> tokens_;
};

} // namespace monsoondock::traffic::pvt

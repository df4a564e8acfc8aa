#pragma once

#include <monsoondock/claims/claim_record.hpp>

#include <mutex>
#include <set>

namespace monsoondock::traffic::pvt {

/// The claimed attempts that this daemon works on. Safe for several threads.
class live_attempts
{
public:
    /// Adds an attempt before its claim is written.
    void add(const claims::attempt_token& token)
    {
        const std::scoped_lock lock(mutex_);
        tokens_.insert(token);
    }


    /// Takes an attempt out when nothing is left to do for it.
    void remove(const claims::attempt_token& token)
    {
        const std::scoped_lock lock(mutex_);
        tokens_.erase(token);
    }


    /// Returns true while the attempt is worked on.
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

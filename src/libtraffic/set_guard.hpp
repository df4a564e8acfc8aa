#pragma once

#include <set>

namespace monsoondock::traffic::pvt {

/// Keeps an object in a set for its own lifetime.
template <class T>
class set_guard
{
public:
    set_guard(std::set<T*>& members, T& member)
        : members_(members), member_(&member)
    {
        members_.insert(member_);
    }

    set_guard(const set_guard&) = delete;
    set_guard& operator=(const set_guard&) = delete;

    ~set_guard()
    {
        members_.erase(member_);
    }

private:
    std::set<T*>& members_;
    T* member_;
};

} // namespace monsoondock::traffic::pvt

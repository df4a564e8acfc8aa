#pragma once

#include <cstddef>
#include <utility>

namespace monsoondock::base {

/// Number of bytes that several users may hold together. It is not
/// thread-safe, and outlives the leases of its bytes.
struct byte_budget
{
    std::size_t max_bytes_ = 0;
    /// What a user may hold without a share of the budget, so that small ones
    /// are served while large ones hold all of it.
    std::size_t free_bytes_ = 0;
    std::size_t held_bytes_ = 0;
};


/// Share of a budget, which the destructor returns.
class byte_lease
{
public:
    byte_lease() = default;

    explicit byte_lease(byte_budget& budget) : budget_(&budget) {}

    byte_lease(byte_lease&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)),
          bytes_(std::exchange(other.bytes_, 0))
    {}

    byte_lease& operator=(byte_lease&& other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }

    byte_lease(const byte_lease&) = delete;
    byte_lease& operator=(const byte_lease&) = delete;

    ~byte_lease()
    {
        if (budget_ != nullptr)
            budget_->held_bytes_ -= bytes_;
    }


    /// Changes what the user holds. Returns false, and changes nothing, when
    /// the budget does not have as much left.
    bool resize(std::size_t bytes)
    {
        if (budget_ == nullptr)
            return true;
        const std::size_t wanted = bytes > budget_->free_bytes_ ? bytes : 0;
        const std::size_t others = budget_->held_bytes_ - bytes_;
        if (wanted > bytes_ && others + wanted > budget_->max_bytes_)
            return false;
        budget_->held_bytes_ = others + wanted;
        bytes_ = wanted;
        return true;
    }

private:
    byte_budget* budget_ = nullptr;
    std::size_t bytes_ = 0;
};

} // namespace monsoondock::base

#include <monsoondock/routing/retry_budget.hpp>

#include <algorithm>

namespace monsoondock::routing {

retry_budget::retry_budget(double earned_per_success, double max_balance)
    : earned_per_success_(earned_per_success), max_balance_(max_balance),
      balance_(max_balance)
{}


void retry_budget::succeeded() noexcept
{
    balance_ = std::min(max_balance_, balance_ + earned_per_success_);
}


bool retry_budget::take() noexcept
{
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

} // namespace monsoondock::routing

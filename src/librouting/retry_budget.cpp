#include <monsoondock/routing/retry_budget.hpp>

#include <algorithm>

namespace monsoondock::routing {

retry_budget::retry_budget(double share, double limit)
    : share_(share), limit_(limit), saved_(limit)
{}


void retry_budget::succeeded() noexcept
{
    saved_ = std::min(limit_, saved_ + share_);
}


bool retry_budget::take() noexcept
{
    if (saved_ < 1)
        return false;
    saved_ -= 1;
    return true;
}

} // namespace monsoondock::routing

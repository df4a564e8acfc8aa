#pragma once

namespace monsoondock::routing {

/// Limits retries to a fraction of the successful requests, so that retries
/// cannot multiply the load during an outage.
class retry_budget
{
public:
    /// Each success adds earned_per_success retries to the balance, which
    /// starts at max_balance and never exceeds it.
    explicit retry_budget(
        double earned_per_success = 0.1, double max_balance = 20);


    /// Records a successful request.
    void succeeded() noexcept;


    /// Takes one retry from the balance. Returns false when the balance is used
    /// up; the failure should then be returned to the caller.
    bool take() noexcept;

private:
    double earned_per_success_;
    double max_balance_;
    double balance_;
};

} // namespace monsoondock::routing

#pragma once

namespace monsoondock::routing {

/// Allows retries as a share of successful requests, so that retries can't
/// multiply the load of an outage.
class retry_budget
{
public:
    /// Each success earns share of a retry; at most limit retries are saved.
    explicit retry_budget(double share = 0.1, double limit = 20);


    /// A request got its answer.
    void succeeded() noexcept;


    /// Takes one retry. Returns false when none is left: answer the caller.
    bool take() noexcept;

private:
    double share_;
    double limit_;
    double saved_;
};

} // namespace monsoondock::routing

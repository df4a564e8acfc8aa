#pragma once

#include <monsoondock/load/arrival.hpp>
#include <monsoondock/load/outcome.hpp>
#include <monsoondock/load/percentiles.hpp>
#include <monsoondock/load/workspace.hpp>

#include <string>
#include <vector>

namespace monsoondock::load {

/// How often something was seen.
struct reason_count
{
    std::string reason_;
    std::size_t count_ = 0;
};


/// Requests of one workspace or class.
struct group_summary
{
    std::string name_;
    std::size_t sent_ = 0;
    std::size_t completed_ = 0;
    std::size_t refused_ = 0;
    std::size_t broken_ = 0;
    std::size_t wrong_ = 0;
    /// Completed before their deadline.
    std::size_t in_time_ = 0;
    percentiles total_;
    /// Of streamed answers only.
    percentiles first_token_;
    percentiles longest_gap_;
};


/// Result of a run.
struct summary
{
    std::chrono::nanoseconds duration_{0};
    group_summary all_;
    std::vector<group_summary> classes_;
    std::vector<group_summary> workspaces_;
    std::vector<reason_count> refusals_;
    std::vector<reason_count> breaks_;
    std::vector<reason_count> wrongs_;
    std::size_t tokens_ = 0;
    /// Requests completed in time per second.
    double goodput_ = 0.0;
    /// Jain's index of the workspaces' shares of requests completed in time:
    /// 1 when all fare alike, 1/n when one gets everything.
    double fairness_ = 1.0;
    /// Lowest share among the workspaces.
    double lowest_share_ = 1.0;
};


/// One request and what became of it.
struct record
{
    const arrival* arrival_ = nullptr;
    outcome outcome_;
};


/// Time in which a request of each class must complete; zero: no bound.
struct deadlines
{
    std::chrono::milliseconds interactive_{0};
    std::chrono::milliseconds report_{0};
    std::chrono::milliseconds call_{0};
};


/// Returns the deadline of a class.
std::chrono::milliseconds deadline_of(const deadlines& d, request_class c);


/// Adds up the records of a run.
summary summarize(
    const std::vector<record>& records,
    const std::vector<workspace>& workspaces,
    const deadlines& bounds,
    std::chrono::nanoseconds duration);

} // namespace monsoondock::load

#pragma once

#include <monsoondock/load/arrival.hpp>
#include <monsoondock/load/outcome.hpp>
#include <monsoondock/load/percentiles.hpp>
#include <monsoondock/load/workspace.hpp>

#include <string>
#include <vector>

namespace monsoondock::load {

/// Number of requests that ended for the same reason.
struct reason_count
{
    std::string reason_;
    std::size_t count_ = 0;
};


/// Outcomes of the requests of one workspace or class.
struct category_summary
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
    /// Streamed answers only.
    percentiles first_token_;
    percentiles longest_gap_;
};


/// Results of a load run.
struct summary
{
    std::chrono::nanoseconds duration_{0};
    category_summary all_;
    std::vector<category_summary> classes_;
    std::vector<category_summary> workspaces_;
    std::vector<reason_count> refusals_;
    std::vector<reason_count> transport_failures_;
    std::vector<reason_count> wrong_answers_;
    std::size_t tokens_ = 0;
    /// Requests completed in time per second.
    double goodput_ = 0.0;
    /// Jain's fairness index over the workspaces' shares of requests completed
    /// in time: 1 when all shares are equal, 1/n when one workspace gets
    /// everything.
    double fairness_ = 1.0;
    /// Lowest share of requests completed in time among the workspaces.
    double lowest_share_ = 1.0;
};


/// One request and its outcome.
struct request_record
{
    const arrival* arrival_ = nullptr;
    outcome outcome_;
};


/// Deadline of each request class; zero: none. It is sent with each request,
/// and the summary measures it from the planned send time.
struct deadlines
{
    std::chrono::milliseconds interactive_{0};
    std::chrono::milliseconds report_{0};
    std::chrono::milliseconds call_{0};
};


/// Returns the deadline of a class.
std::chrono::milliseconds deadline_of(const deadlines& d, request_class c);


/// Aggregates the records of a run.
summary summarize(
    const std::vector<request_record>& records,
    const std::vector<workspace>& workspaces,
    const deadlines& bounds,
    std::chrono::nanoseconds duration);

} // namespace monsoondock::load

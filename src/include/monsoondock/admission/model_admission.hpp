#pragma once

#include <monsoondock/admission/decision.hpp>
#include <monsoondock/admission/demand_meter.hpp>
#include <monsoondock/admission/refused_requests.hpp>
#include <monsoondock/admission/usual_deadline.hpp>
#include <monsoondock/admission/workspace_shares.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace monsoondock::admission {

/// A request as it arrives at a daemon.
struct incoming_request
{
    std::string workspace_;
    /// Name of its route.
    std::string route_;
    /// Same for a request and for that of a caller that returns with it.
    std::uint64_t fingerprint_ = 0;
    /// 0 is the most urgent.
    unsigned priority_ = 0;
    double prompt_tokens_ = 0;
    /// Target for the time to the first event.
    milliseconds target_{0};
    base::time_point deadline_;
    /// Longest time after which the caller returns when it is refused.
    milliseconds longest_return_{0};
    /// Random number in [0, 1).
    double random_fraction_ = 0;
};


/// What a daemon knows of the upstreams of a model.
struct upstream_loads
{
    /// The healthy upstreams that accept requests.
    std::vector<upstream_load> upstreams_;
    /// Age that the known loads have at most.
    milliseconds report_age_{0};
    /// Number of daemons that serve callers, including this one.
    unsigned daemons_ = 1;
};


/// Admission of the requests for one model, or one plain service, at one
/// daemon. All times are passed in and must not decrease between calls.
class model_admission
{
public:
    /// Decides on a request and records it; see admission::decide.
    decision decide(
        const incoming_request& request,
        const upstream_loads& known,
        base::time_point now);

private:
    demand_meter demand_;
    workspace_shares shares_;
    refused_requests refused_;
    std::map<std::string, usual_deadline> deadlines_;
};

} // namespace monsoondock::admission

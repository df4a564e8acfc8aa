#pragma once

#include <monsoondock/admission/prediction.hpp>
#include <monsoondock/admission/refusal_reason.hpp>

#include <chrono>
#include <optional>
#include <vector>

namespace monsoondock::admission {

/// A request that is to be admitted or refused.
struct arrival
{
    /// 0 is the most urgent.
    unsigned priority_ = 0;
    double prompt_tokens_ = 0;
    /// Target for the time to the first event.
    milliseconds target_{0};
    /// Time until the caller's deadline.
    milliseconds time_left_{0};
    /// True when the workspace has got more than its share lately; see
    /// workspace_shares.
    bool over_share_ = false;
    /// True when the caller was refused before and has returned.
    bool returned_ = false;
    /// Longest time after which the caller returns when it is refused.
    milliseconds longest_return_{0};
    /// Random number in [0, 1).
    double random_fraction_ = 0;
};


/// What is known of the upstreams that can serve a request and of the demand
/// for them.
struct conditions
{
    /// The healthy upstreams that accept requests.
    std::vector<upstream_load> upstreams_;
    urgent_load load_;
    /// Age that the known loads have at most.
    milliseconds report_age_{0};
    /// Part, from 0 to 1, of the arrivals that are refused first: those of
    /// workspaces over their share and of callers that have returned.
    double refused_first_share_ = 0;
};


/// Outcome of an admission decision.
struct decision
{
    /// Set when the request is refused.
    std::optional<refusal_reason> refusal_;
    /// Predicted time to the first event, at most the time until the deadline.
    milliseconds predicted_{0};
    /// Time after which the caller of a refused request is to return, at most
    /// the longest one.
    std::chrono::milliseconds retry_after_{0};
};


/// Decides whether a request is admitted, by the upstream that is predicted to
/// respond first. A request is refused
///
/// - if it would not get its first event before its deadline;
/// - or if it has to wait for a slot, is predicted to miss its target, and one
///   of mean size in its place would miss it too. Then as many are refused as
///   exceed what the upstreams complete, and more the longer the queue is, so
///   that it shrinks: first those of workspaces over their share and of callers
///   that have returned. More urgent requests are admitted to a longer queue.
///
/// Admits the request when there are no upstreams.
decision decide(const arrival& request, const conditions& known);

} // namespace monsoondock::admission

#pragma once

#include <string>

namespace monsoondock::relay {

/// Names of the non-standard HTTP header fields that callers, upstreams and the
/// proxy use. Set by the platform adapter.
struct header_names
{
    /// Identifier of the request; echoed by upstreams. A caller that retries
    /// sends a new one.
    std::string request_id_;
    /// Remaining time until the deadline, in milliseconds.
    std::string time_left_;
    /// Host to which the request is addressed; any other host rejects it.
    std::string target_host_;
    /// Workspace that the caller's API key belongs to.
    std::string workspace_;
    /// Scheduling priority at the engine; 0 is the most urgent.
    std::string priority_;
    /// Version of the model weights that the request requires.
    std::string weight_version_;
    /// Requested model.
    std::string model_;
    /// Number of prompt tokens and maximum number of output tokens, separated
    /// by a comma.
    std::string token_counts_;
    /// Number of output tokens as estimated by the caller.
    std::string answer_estimate_;
    /// Parts of the prompt, several of which requests may share; see
    /// crashes::parse_shared_parts.
    std::string prompt_parts_;
    /// Integrity seal by which an upstream marks a response as its own.
    std::string seal_;
    /// Present when the upstream did not execute the request.
    std::string not_run_;
    /// Present in the responses of an upstream that is leaving.
    std::string leaving_;
    /// Requests a second that an upstream accepts from all daemons together, a
    /// decimal number; present in its responses while it has such a limit.
    std::string limit_;
    /// Address of the host because of which a group cannot serve.
    std::string failed_host_;
    /// Id of the last event of a stream that the receiver has received.
    std::string last_event_id_;
};

} // namespace monsoondock::relay

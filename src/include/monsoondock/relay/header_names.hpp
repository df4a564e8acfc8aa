#pragma once

#include <string>

namespace monsoondock::relay {

/// Names of the header fields that callers, upstreams and the relay use beside
/// the standard ones. An adapter fills them in.
struct header_names
{
    /// Identifier of one attempt of a caller; echoed by upstreams.
    std::string request_id_;
    /// Milliseconds that the caller, or what is left of it the upstream, has.
    std::string time_left_;
    /// Host that a request is meant for; any other refuses to run it.
    std::string target_host_;
    /// Workspace of the caller's key.
    std::string workspace_;
    /// Rank of a request at an engine, 0 is first.
    std::string priority_;
    /// Version of the weights that a request asks for.
    std::string weight_version_;
    /// Model that a request is for.
    std::string model_;
    /// "prompt tokens,most output tokens".
    std::string token_counts_;
    /// Tokens of the answer as the caller estimates them.
    std::string answer_estimate_;
    /// Proof by an upstream that an answer is its own.
    std::string seal_;
    /// Present when the upstream did not run the request.
    std::string not_run_;
    /// Host that keeps a group from serving.
    std::string failed_host_;
    /// Last event that the receiver of a stream has.
    std::string last_event_id_;
};

} // namespace monsoondock::relay

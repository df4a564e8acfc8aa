#pragma once

#include "host_change_log.hpp"
#include "host_digest.hpp"

#include <monsoondock/platform/change.hpp>

#include <optional>
#include <string>
#include <vector>

namespace monsoondock::entry::pvt {

/// Request for the host changes of a peer that the requester follows.
struct host_sync_request
{
    /// Position in the peer's change log up to which the requester has applied
    /// changes.
    host_log_position from_;
    /// Digest of the requester's entries. It is compared with the peer's when
    /// the peer's log does not contain that position, as after a change of
    /// leader.
    host_digest digest_{};
};


/// Host changes that a daemon returns to a peer that follows it.
struct host_sync_response
{
    /// Position in the responder's change log that the requester reaches by
    /// applying the changes.
    host_log_position position_;
    /// Digest buckets of which changes_ lists all entries, so that hosts
    /// missing there are gone. Of other buckets it lists only new changes.
    std::vector<std::size_t> complete_buckets_;
    std::vector<platform::change> changes_;
};


/// Returns the response to a request: the changes after the requester's
/// position or, if the log does not contain it, all entries of the buckets
/// whose digests differ.
host_sync_response make_sync_response(
    const host_sync_request& request,
    const host_log_position& own,
    const host_change_log& log,
    const host_entries& entries);


/// Converts changes that a peer pushed, the latest ones up to the position
/// up_to, to a response for a daemon that has applied the peer's changes up to
/// another position. Returns nothing when the positions are from different
/// runs of daemons, when changes in between are missing, or when none is new.
std::optional<host_sync_response> response_from_push(
    const host_log_position& applied,
    const host_log_position& up_to,
    const std::vector<platform::change>& changes);


/// Returns a request as the query string of an HTTP request target, with the
/// leading "?".
std::string to_query(const host_sync_request& request);


/// Parses a request from an HTTP request target. Missing or malformed
/// parameters keep their defaults, as for a requester without any entries.
host_sync_request parse_sync_request(const std::string& target);


/// Returns a response as JSON text.
std::string to_text(const host_sync_response& response);


/// Parses a response. Returns nothing when the text is malformed.
std::optional<host_sync_response> parse_sync_response(const std::string& text);

} // namespace monsoondock::entry::pvt

#pragma once

#include "status_row.hpp"
#include "table_digest.hpp"

#include <monsoondock/membership/member_record.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace monsoondock::membership::pvt {

/// Requests an acknowledgement from target.
struct ping
{
    std::uint32_t sequence_ = 0;
    base::daemon_id target_;
};


/// Answers a ping or a ping_request with its sequence. subject is the daemon
/// that was reached.
struct ack
{
    std::uint32_t sequence_ = 0;
    base::daemon_id subject_;
};


/// Asks the receiver to ping target and to forward the acknowledgement.
struct ping_request
{
    std::uint32_t sequence_ = 0;
    base::daemon_id target_;
};


/// Synchronizes tables: the receiver answers with its records in each digest
/// bucket that differs, and with its own digest when wants_reply_ is set.
struct sync
{
    bool wants_reply_ = false;
    table_digest digest_{};
};


/// Carries only records and status rows.
struct gossip
{};


using message_body = std::variant<ping, ack, ping_request, sync, gossip>;


/// Header with the current state of the sender, in every datagram.
struct sender_header
{
    base::daemon_id id_;
    incarnation incarnation_;
    member_state state_ = member_state::alive;
    member_status status_;
    /// Highest settings revision known to the sender.
    std::uint64_t highest_revision_ = 0;
};


/// Decoded body of one datagram.
struct message
{
    sender_header sender_;
    message_body body_;
    std::vector<member_record> records_;
    std::vector<status_row> rows_;
};

} // namespace monsoondock::membership::pvt

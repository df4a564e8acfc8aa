#pragma once

#include "status_row.hpp"
#include "table_digest.hpp"

#include <monsoondock/membership/member_record.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace monsoondock::membership::pvt {

/// Asks target for an acknowledgement.
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


/// Asks the receiver to ping target and to pass the acknowledgement on.
struct ping_request
{
    std::uint32_t sequence_ = 0;
    base::daemon_id target_;
};


/// Compares tables: the receiver answers with its records of each part that
/// differs, and with its own digest when it is asked to.
struct sync
{
    bool wants_reply_ = false;
    table_digest digest_{};
};


/// Carries records and rows only.
struct gossip
{};


using message_body = std::variant<ping, ack, ping_request, sync, gossip>;


/// What every datagram tells about its sender.
struct sender_header
{
    base::daemon_id id_;
    incarnation incarnation_;
    member_state state_ = member_state::alive;
    member_status status_;
    /// Highest settings revision that the sender has heard of.
    std::uint64_t highest_revision_ = 0;
};


/// One datagram in the clear.
struct message
{
    sender_header sender_;
    message_body body_;
    std::vector<member_record> records_;
    std::vector<status_row> rows_;
};

} // namespace monsoondock::membership::pvt

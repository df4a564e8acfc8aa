#pragma once

#include "traffic_thread.hpp"

#include <monsoondock/traffic/group_row.hpp>
#include <monsoondock/traffic/shared_suspect_registry.hpp>

#include <boost/asio/awaitable.hpp>

namespace monsoondock::traffic::pvt {

/// One dispatch of a completion as the quarantine sees it. Counts as abandoned
/// when it goes out of scope without an end.
class suspect_flight
{
public:
    suspect_flight(shared_suspect_registry& board, base::request_id request);
    suspect_flight(const suspect_flight&) = delete;
    suspect_flight& operator=(const suspect_flight&) = delete;
    ~suspect_flight();


    /// Asks for leave to send and waits for the answer.
    boost::asio::awaitable<dispatch_answer>
    ask(quarantine::dispatch_question question);


    /// The request goes to this group now.
    void dispatched(const group_row& group);


    /// So many tokens of the answer have come. Enough of them show that a
    /// suspect has passed the point where its group was lost.
    void generated(std::uint64_t tokens);


    /// The whole answer has come.
    void completed();


    /// The exchange broke off. Finds out whether the group is lost, which makes
    /// every request in flight there a suspect.
    boost::asio::awaitable<void>
    broken(const group_row& group, std::chrono::milliseconds bound);

    /// Returns the name under which the board knows this dispatch.
    const base::request_id& request() const noexcept
    {
        return request_;
    }

private:
    shared_suspect_registry& board_;
    base::request_id request_;
    bool open_ = false;
    std::uint64_t tokens_ = 0;
};

} // namespace monsoondock::traffic::pvt

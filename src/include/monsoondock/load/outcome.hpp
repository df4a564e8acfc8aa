#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <string>
#include <variant>
#include <vector>

namespace monsoondock::load {

/// The whole answer arrived and is the right one.
struct completed
{
    /// Time to the first byte of the answer's body.
    base::duration first_token_{0};
    base::duration total_{0};
    /// Longest time between two parts of a streamed answer.
    base::duration longest_gap_{0};
    std::size_t tokens_ = 0;
};


/// The system refused the request.
struct refused
{
    int status_ = 0;
    /// Type of the problem in the answer.
    std::string reason_;
    /// "not_run" or "unknown".
    std::string run_;
    /// True when the answer says when to come back.
    bool retry_after_ = false;
    base::duration total_{0};
};


/// No connection, or it broke before a whole answer: the caller can tell.
struct broken
{
    std::string reason_;
};


/// The answer looked whole and was not the request's own answer.
struct wrong
{
    std::string reason_;
};

/// Every way in which a request can end.
using outcome = std::variant<completed, refused, broken, wrong>;

} // namespace monsoondock::load

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace monsoondock::traffic::test {

/// What a fake engine does wrong with an answer.
enum class misbehaviour
{
    none,
    /// Closes the connection in the middle of an event.
    cut,
    /// Ends the stream in good order, but without its last event.
    ends_early,
    /// Sends the whole answer twice.
    doubled,
    /// Answers with the request id of another request.
    crossed,
    /// Refuses as an engine with a higher generation does.
    stale_generation
};


/// An engine on a thread of its own that streams three tokens, each with the
/// prompt in it, and misbehaves as told for its next answers.
class fake_engine
{
public:
    fake_engine();
    ~fake_engine();

    boost::asio::ip::tcp::endpoint address() const;


    /// The next count answers go wrong; later ones are right.
    void misbehave(misbehaviour how, int count);


    /// Returns the number of requests that came.
    int requests() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};


/// Returns the text of the whole answer to a prompt.
std::string right_answer(const std::string& prompt);

} // namespace monsoondock::traffic::test

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace monsoondock::traffic::test {

/// Fault that a fake engine injects into a response.
enum class engine_fault
{
    none,
    /// Closes the connection in the middle of an event.
    truncated,
    /// Ends the stream with its last chunk, but without its [DONE] event.
    missing_done_event,
    /// Sends the complete response twice.
    duplicated,
    /// Responds with the id of another request.
    wrong_request_id,
    /// Refuses with 409, like an engine with a higher generation.
    stale_generation,
    /// Pauses for slow_engine_pause before the response head.
    slow_head,
    /// Pauses for slow_engine_pause within the stream.
    slow_stream,
    /// Sends the end of the stream a byte at a time, trickle_pause apart.
    trickling_stream,
    /// Sends a part of the stream and nothing after it.
    stalled_stream,
    /// Sends nothing.
    stalled_head,
    /// Sends an informational response before the complete one.
    informational_first,
    /// Begins with the first token, whatever the request asks for.
    begins_anew,
    /// Sends a complete body that is no stream.
    no_stream,
    /// Sends bytes without end: in the status line, as header fields, as
    /// informational responses, in a chunk header or extension, as trailers,
    /// in an event, as events after [DONE], as a body that is no stream, and
    /// after a complete response.
    endless_status_line,
    endless_fields,
    endless_informational,
    endless_chunk_header,
    endless_chunk_extension,
    endless_trailers,
    endless_event,
    endless_after_done,
    endless_body,
    endless_after_response
};

/// Bytes after which an endless fault ends, so that a server which reads all of
/// them fails its test instead of running out of memory.
inline constexpr std::size_t max_endless_bytes = std::size_t{64} * 1024 * 1024;


/// How long a slow engine sends nothing.
inline constexpr std::chrono::milliseconds slow_engine_pause{300};
inline constexpr std::chrono::milliseconds trickle_pause{40};


/// Engine on a thread of its own that streams three tokens, each containing the
/// prompt, and can inject faults into its next responses.
class fake_engine
{
public:
    fake_engine();
    ~fake_engine();

    boost::asio::ip::tcp::endpoint address() const;


    /// Injects fault into the next count responses.
    void inject_faults(engine_fault fault, int count);


    /// Names a limit of requests a second in all further responses.
    void set_limit(std::string limit);


    /// Rejects all further requests with 503 and this Retry-After.
    void set_rest(std::string seconds);


    /// Returns the number of requests received.
    int requests() const;


    /// Waits until all endless faults have ended. Returns false when one goes
    /// on after the time.
    bool wait_for_end_of_faults(std::chrono::milliseconds time) const;


    /// Returns the number of bytes of endless faults that could be sent.
    std::size_t endless_bytes() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};


/// Returns the text of the complete response to a prompt.
std::string expected_answer(const std::string& prompt);

} // namespace monsoondock::traffic::test

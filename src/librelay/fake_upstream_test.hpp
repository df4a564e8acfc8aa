#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace monsoondock::relay::test {

/// How a fake upstream marks the end of a response body.
enum class framing
{
    length,
    chunked,
    /// Neither a length nor chunks; the body ends with the connection.
    connection_close,
    /// The same in an HTTP/1.0 response.
    http_1_0
};


/// What a fake upstream does with the connection after it has sent a response.
enum class ending
{
    keep_open,
    close,
    reset,
    /// Closes the listener and then the connection, as the kernel does for a
    /// process that has been killed.
    process_end,
    /// Closes the connection and resets those that are accepted afterwards, as
    /// a host does that has as many connections as it accepts.
    close_when_full
};


/// Part of a response, sent as it is.
struct response_part
{
    std::string text_;
    /// Requests that must have arrived before the part is sent.
    std::size_t after_requests_ = 0;
    /// Pause before the part is sent.
    std::chrono::milliseconds pause_{0};
};


/// Response of a fake upstream. The events of a stream have the ids 1 to
/// last_event_; a resumed one starts after the Last-Event-Id of the request.
struct scripted_response
{
    framing framing_ = framing::chunked;
    ending ending_ = ending::keep_open;
    /// False when the chunk, or the part of the length, that completes the body
    /// is left out.
    bool finished_ = true;
    int last_event_ = 4;
    /// Bytes after the last event.
    std::string partial_event_;
    /// Body in place of events, as application/json.
    std::string body_;
    std::string status_ = "200 OK";
    /// Further header fields, each ending with a line break.
    std::string fields_;
    /// Pause in the middle of the response.
    std::chrono::milliseconds pause_{0};
    /// Sent in place of a response of the form above; the connection ends as
    /// ending_ says.
    std::vector<response_part> parts_;
    /// Sent as it is in place of a response of the form above; `$ID` stands for
    /// the id of the request.
    std::string verbatim_;
    /// Host that names a limit of 0.01 requests a second in its responses;
    /// empty for none.
    std::string limited_host_;
    /// Instead of responding, the upstream crashes as it begins to write when
    /// the prompt of the request has this part; empty for none.
    std::string crashes_on_part_;
    /// Sent again and again after the response, until the proxy closes the
    /// connection or max_endless_bytes have been sent.
    std::string repeated_;
    /// Pause between the response and the repeated part.
    std::chrono::milliseconds idle_pause_{0};
};

/// Bytes after which a repeated part ends, so that a proxy which reads all of
/// them fails its test instead of running out of memory.
inline constexpr std::size_t max_endless_bytes = std::size_t{96} * 1024 * 1024;


/// Upstream on a thread of its own. Sends the responses of a script in the
/// order in which requests arrive, and closes the connection of requests after
/// the last one.
class fake_upstream
{
public:
    explicit fake_upstream(std::vector<scripted_response> script);
    ~fake_upstream();

    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;


    boost::asio::ip::tcp::endpoint address() const;


    /// Has connections that are accepted from now on read nothing for a time.
    void set_read_pause(std::chrono::milliseconds pause);


    /// Returns the number of requests received.
    std::size_t requests() const;


    /// Returns the number of connections accepted.
    std::size_t connections() const;


    /// Waits until all repeated parts have ended. Returns false when one goes
    /// on after the time.
    bool wait_for_end_of_repetition(std::chrono::milliseconds time) const;


    /// Returns the number of bytes of repeated parts that could be sent.
    std::size_t repeated_bytes() const;


    /// Returns the host to which each request was addressed, in the order of
    /// their arrival.
    std::vector<std::string> targets() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};


/// Returns text as a chunk of a body.
std::string make_chunk(const std::string& text);


/// Returns the header of a response with the id r-1 that has neither a length
/// nor chunks: of a stream, or of another body.
std::string make_unframed_header(bool stream, int minor_version = 1);


/// Returns the events with the ids first to last.
std::string make_events(int first, int last);


/// Returns the header of a stream in chunks, as the response to a request with
/// the id r-1.
std::string make_stream_header();


/// Returns the chunk that ends a body.
std::string make_last_chunk();

} // namespace monsoondock::relay::test

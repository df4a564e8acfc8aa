#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace monsoondock::base {

/// Rate and buffer limits of an event_writer.
struct event_writer_limits
{
    /// Lines per second for each event name; further lines are counted and
    /// discarded.
    unsigned lines_per_second_ = 60;
    /// Bytes buffered while the reader of the file descriptor is slow.
    std::size_t max_buffered_bytes_ = std::size_t{256} * 1024;
};


/// Writes event lines to a file descriptor without blocking on its reader.
/// Lines beyond the limits are discarded and their number is logged: as event
/// log_suppressed before the next line of the same event name in a later
/// second, or as log_dropped before the next line that fits into the buffer.
/// Thread-safe.
class event_writer
{
public:
    /// Sets fd to non-blocking mode. The caller keeps ownership of fd.
    explicit event_writer(int fd, event_writer_limits limits = {});


    /// Writes a line, or discards it when a limit is reached. kind is the event
    /// name to which the rate limit applies.
    void write(std::string_view kind, std::string_view line, time_point now);


    /// Returns the number of lines discarded so far, for either reason.
    std::uint64_t discarded_lines() const;

private:
    /// Rate limit of one event name, counted per whole second.
    struct rate_budget
    {
        std::int64_t second_ = 0;
        unsigned lines_ = 0;
        std::uint64_t suppressed_ = 0;
    };

    /// Returns true when the rate limit admits one more line of this kind.
    bool consume_budget(std::string_view kind, time_point now);
    void report_suppressed(std::string_view kind, rate_budget& b);
    void append(std::string line);
    void flush();

    int fd_;
    event_writer_limits limits_;
    mutable std::mutex mutex_;
    std::map<std::string, rate_budget, std::less<>> budgets_;
    std::deque<std::string> buffered_lines_;
    std::size_t buffered_bytes_ = 0;
    /// Bytes of the first buffered line that are already written.
    std::size_t first_line_written_bytes_ = 0;
    /// Lines dropped on a full buffer since the last line that was buffered.
    std::uint64_t dropped_ = 0;
    std::uint64_t discarded_lines_ = 0;
};


/// Sends all event lines of the process to writer; null restores output to
/// glog. Call it before other threads log. writer must outlive those threads.
void install_event_writer(event_writer* writer) noexcept;


/// Returns the installed writer, or null.
event_writer* installed_event_writer() noexcept;

} // namespace monsoondock::base

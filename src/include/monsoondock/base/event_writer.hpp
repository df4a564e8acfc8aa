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

/// Bounds of the log of one process.
struct event_bounds
{
    /// Lines of one kind of event in a second; the others are counted.
    unsigned lines_per_second_ = 60;
    /// Bytes that wait while the reader of the log is slow.
    std::size_t waiting_bytes_ = std::size_t{256} * 1024;
};


/// Writes event lines to a file descriptor without ever waiting for its
/// reader. Lines beyond the bounds are left out; how many is said by the next
/// line that can be written. Safe for use by several threads.
class event_writer
{
public:
    /// fd is set to non-blocking mode.
    explicit event_writer(int fd, event_bounds bounds = {});


    /// Writes a line of one kind of event, or counts it as left out.
    void write(std::string_view kind, std::string_view line, time_point now);


    /// Returns the lines that were left out so far.
    std::uint64_t left_out() const;

private:
    struct budget
    {
        std::int64_t second_ = 0;
        unsigned lines_ = 0;
        std::uint64_t suppressed_ = 0;
    };

    bool take(std::string_view kind, time_point now);
    void report_suppressed(std::string_view kind, budget& b);
    void append(std::string line);
    void flush();

    int fd_;
    event_bounds bounds_;
    mutable std::mutex mutex_;
    std::map<std::string, budget, std::less<>> budgets_;
    std::deque<std::string> waiting_;
    std::size_t waiting_bytes_ = 0;
    std::size_t written_of_first_ = 0;
    /// Lines dropped since the last one that was written.
    std::uint64_t dropped_ = 0;
    std::uint64_t left_out_ = 0;
};


/// Sends all event lines of the process to writer instead of glog; null sends
/// them to glog again. Call it before other threads log; writer must outlive
/// them.
void install_event_writer(event_writer* writer) noexcept;


/// Returns the installed writer, or null.
event_writer* installed_event_writer() noexcept;

} // namespace monsoondock::base

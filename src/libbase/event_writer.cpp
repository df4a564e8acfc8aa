#include <monsoondock/base/event_writer.hpp>

#include <atomic>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace monsoondock::base {

namespace {

std::atomic<event_writer*> current_writer{nullptr};

} // namespace

event_writer::event_writer(int fd, event_writer_limits limits)
    : fd_(fd), limits_(limits)
{
    const int flags = ::fcntl(fd_, F_GETFL);
    if (flags >= 0)
        ::fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
}


bool event_writer::consume_budget(std::string_view kind, time_point now)
{
    const std::int64_t second =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
            .count();
    auto found = budgets_.find(kind);
    if (found == budgets_.end())
        found = budgets_.emplace(std::string(kind), rate_budget{}).first;
    rate_budget& b = found->second;
    if (b.second_ != second) {
        report_suppressed(kind, b);
        b = {second, 0, 0};
    }
    if (b.lines_ >= limits_.lines_per_second_) {
        ++b.suppressed_;
        ++discarded_lines_;
        return false;
    }
    ++b.lines_;
    return true;
}


void event_writer::report_suppressed(std::string_view kind, rate_budget& b)
{
    if (b.suppressed_ == 0)
        return;
    append(
        "event=log_suppressed kind=" + std::string(kind) +
        " lines=" + std::to_string(b.suppressed_) + "\n");
}


void event_writer::append(std::string line)
{
    if (buffered_bytes_ + line.size() > limits_.max_buffered_bytes_) {
        ++dropped_;
        ++discarded_lines_;
        return;
    }
    if (dropped_ > 0) {
        line =
            "event=log_dropped lines=" + std::to_string(dropped_) + "\n" + line;
        dropped_ = 0;
    }
    buffered_bytes_ += line.size();
    buffered_lines_.push_back(std::move(line));
}


void event_writer::flush()
{
    while (!buffered_lines_.empty()) {
        const std::string& first = buffered_lines_.front();
        const ssize_t written = ::write(
            fd_,
            first.data() + first_line_written_bytes_,
            first.size() - first_line_written_bytes_);
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return;
        first_line_written_bytes_ += static_cast<std::size_t>(written);
        if (first_line_written_bytes_ < first.size())
            return;
        buffered_bytes_ -= first.size();
        first_line_written_bytes_ = 0;
        buffered_lines_.pop_front();
    }
}


void event_writer::write(
    std::string_view kind, std::string_view line, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (consume_budget(kind, now))
        append(std::string(line) + "\n");
    flush();
}


std::uint64_t event_writer::discarded_lines() const
{
    const std::lock_guard lock(mutex_);
    return discarded_lines_;
}


void install_event_writer(event_writer* writer) noexcept
{
    current_writer = writer;
}


event_writer* installed_event_writer() noexcept
{
    return current_writer;
}

} // namespace monsoondock::base

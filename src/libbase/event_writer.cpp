#include <monsoondock/base/event_writer.hpp>

#include <atomic>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace monsoondock::base {

namespace {

std::atomic<event_writer*> installed{nullptr};

} // namespace

event_writer::event_writer(int fd, event_bounds bounds)
    : fd_(fd), bounds_(bounds)
{
    const int flags = ::fcntl(fd_, F_GETFL);
    if (flags >= 0)
        ::fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
}


bool event_writer::take(std::string_view kind, time_point now)
{
    const std::int64_t second =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
            .count();
    auto found = budgets_.find(kind);
    if (found == budgets_.end())
        found = budgets_.emplace(std::string(kind), budget{}).first;
    budget& b = found->second;
    if (b.second_ != second) {
        report_suppressed(kind, b);
        b = {second, 0, 0};
    }
    if (b.lines_ >= bounds_.lines_per_second_) {
        ++b.suppressed_;
        ++left_out_;
        return false;
    }
    ++b.lines_;
    return true;
}


void event_writer::report_suppressed(std::string_view kind, budget& b)
{
    if (b.suppressed_ == 0)
        return;
    append(
        "event=log_suppressed kind=" + std::string(kind) +
        " lines=" + std::to_string(b.suppressed_) + "\n");
}


void event_writer::append(std::string line)
{
    if (waiting_bytes_ + line.size() > bounds_.waiting_bytes_) {
        ++dropped_;
        ++left_out_;
        return;
    }
    if (dropped_ > 0) {
        line =
            "event=log_dropped lines=" + std::to_string(dropped_) + "\n" + line;
        dropped_ = 0;
    }
    waiting_bytes_ += line.size();
    waiting_.push_back(std::move(line));
}


void event_writer::flush()
{
    while (!waiting_.empty()) {
        const std::string& first = waiting_.front();
        const ssize_t written = ::write(
            fd_,
            first.data() + written_of_first_,
            first.size() - written_of_first_);
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return;
        written_of_first_ += static_cast<std::size_t>(written);
        if (written_of_first_ < first.size())
            return;
        waiting_bytes_ -= first.size();
        written_of_first_ = 0;
        waiting_.pop_front();
    }
}


void event_writer::write(
    std::string_view kind, std::string_view line, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (take(kind, now))
        append(std::string(line) + "\n");
    flush();
}


std::uint64_t event_writer::left_out() const
{
    const std::lock_guard lock(mutex_);
    return left_out_;
}


void install_event_writer(event_writer* writer) noexcept
{
    installed = writer;
}


event_writer* installed_event_writer() noexcept
{
    return installed;
}

} // namespace monsoondock::base

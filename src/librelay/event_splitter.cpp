#include "event_splitter.hpp"

#include <utility>

namespace monsoondock::relay::pvt {

namespace {

// Returns the end of the event that begins before the last line, including the
// blank line that ends it, or 0 when the event is incomplete. Each byte is
// searched once, however many calls its event takes.
std::size_t find_event_end(event_splitter& s)
{
    const std::string_view text = s.pending_;
    for (;;) {
        const std::size_t end = text.find('\n', s.searched_);
        if (end == std::string_view::npos) {
            s.searched_ = text.size();
            return 0;
        }
        const std::size_t length = end - s.line_begin_;
        const bool blank =
            length == 0 || (length == 1 && text[s.line_begin_] == '\r');
        s.line_begin_ = end + 1;
        s.searched_ = end + 1;
        if (blank)
            return end + 1;
    }
}

} // namespace

std::string extract_events(
    event_splitter& splitter,
    std::string_view bytes,
    const response_check& has_response)
{
    splitter.pending_.append(bytes);
    std::string complete;
    std::size_t begin = 0;
    const std::string_view all = splitter.pending_;
    while (splitter.join_.run_.failure_ == base::join_failure::none &&
           !splitter.has_second_response_) {
        const std::size_t end = find_event_end(splitter);
        if (end == 0)
            break;
        const std::string_view event = all.substr(begin, end - begin);
        splitter.has_second_response_ = has_response && has_response(event);
        if (!splitter.has_second_response_) {
            ++splitter.events_;
            accept_event(
                splitter.join_, base::read_event(event), event, complete);
        }
        begin = end;
    }
    splitter.pending_.erase(0, begin);
    splitter.line_begin_ -= begin;
    splitter.searched_ -= begin;
    return complete;
}


bool ends_inside_event(const event_splitter& splitter)
{
    std::string_view rest = splitter.pending_;
    while (!rest.empty()) {
        if (rest.front() != ':')
            return true;
        const std::size_t end = rest.find('\n');
        if (end == std::string_view::npos)
            return false;
        rest.remove_prefix(end + 1);
    }
    return false;
}


bool contains_event(std::string_view text)
{
    bool has_field = false;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        if (end == std::string_view::npos)
            return false;
        const std::string_view line = text.substr(0, end);
        const bool blank = line.empty() || line == "\r";
        if (blank && has_field)
            return true;
        has_field = has_field || line.starts_with("data:");
        text.remove_prefix(end + 1);
    }
    return false;
}


void begin_run(event_splitter& splitter)
{
    take_partial_event(splitter);
    splitter.has_second_response_ = false;
    splitter.left_out_ += splitter.join_.run_.repeated_;
    begin_run(splitter.join_);
}


std::uint64_t left_out(const event_splitter& splitter)
{
    return splitter.left_out_ + splitter.join_.run_.repeated_;
}


std::string take_partial_event(event_splitter& splitter)
{
    splitter.line_begin_ = 0;
    splitter.searched_ = 0;
    return std::exchange(splitter.pending_, {});
}


void restore_run(
    event_splitter& splitter, base::run_join run, std::string partial_event)
{
    begin_run(splitter);
    splitter.join_.run_ = std::move(run);
    splitter.pending_ = std::move(partial_event);
}

} // namespace monsoondock::relay::pvt

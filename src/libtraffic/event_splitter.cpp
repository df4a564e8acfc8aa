#include "event_splitter.hpp"

#include <algorithm>

namespace monsoondock::traffic::pvt {

namespace {

constexpr std::string_view event_end = "\n\n";


// Returns true for an event whose only data is the closing mark. The text of a
// token may contain that mark.
bool is_closing_event(std::string_view event)
{
    bool closing = false;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size() - 1);
        const std::string_view line = event.substr(0, end);
        event.remove_prefix(end + 1);
        if (!line.starts_with("data:"))
            continue;
        if (closing)
            return false;
        closing = line == "data: [DONE]" || line == "data:[DONE]";
        if (!closing)
            return false;
    }
    return closing;
}


void count_event(stream_progress& progress, std::string_view event)
{
    if (is_closing_event(event))
        progress.done_ = true;
    else if (event.find("\"content\":") != std::string_view::npos)
        ++progress.tokens_;
}

} // namespace

std::string take_events(event_splitter& splitter, std::string_view bytes)
{
    if (splitter.progress_.done_)
        return {};
    splitter.pending_.append(bytes);
    std::size_t begin = 0;
    while (!splitter.progress_.done_) {
        const std::size_t end = splitter.pending_.find(
            event_end, std::max(begin, splitter.searched_));
        if (end == std::string::npos)
            break;
        const std::size_t next = end + event_end.size();
        const std::string_view buffered = splitter.pending_;
        count_event(splitter.progress_, buffered.substr(begin, next - begin));
        begin = next;
    }
    std::string complete = splitter.pending_.substr(0, begin);
    splitter.pending_.erase(0, begin);
    if (splitter.progress_.done_)
        splitter.pending_.clear();
    // The first half of the end may have arrived.
    splitter.searched_ = splitter.pending_.size() -
                         std::min<std::size_t>(splitter.pending_.size(), 1);
    return complete;
}


void discard_partial_event(event_splitter& splitter)
{
    splitter.pending_ = std::string();
    splitter.searched_ = 0;
}

} // namespace monsoondock::traffic::pvt

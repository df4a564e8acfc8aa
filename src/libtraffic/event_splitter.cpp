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


// Reads an event and numbers it if it has content.
base::stream_event
read_numbered_event(event_splitter& s, std::string_view text, bool closing)
{
    base::stream_event event = base::read_event(text);
    event.id_form_ = base::event_id_form::missing;
    if (closing || text.find("\"content\":") == std::string_view::npos)
        return event;
    event.id_form_ = base::event_id_form::number;
    event.id_ = ++s.run_tokens_;
    event.id_text_ = std::to_string(event.id_);
    return event;
}


void take_event(event_splitter& s, std::string_view text, std::string& events)
{
    const bool closing = is_closing_event(text);
    const std::size_t size = events.size();
    accept_event(s.join_, read_numbered_event(s, text, closing), text, events);
    s.progress_.tokens_ = s.join_.last_->id_;
    s.progress_.done_ = closing && events.size() > size;
}

} // namespace

event_splitter::event_splitter()
{
    begin_after(join_, 0);
}


std::string take_events(event_splitter& splitter, std::string_view bytes)
{
    if (splitter.progress_.done_)
        return {};
    splitter.pending_.append(bytes);
    std::string events;
    const std::string_view buffered = splitter.pending_;
    std::size_t begin = 0;
    while (!splitter.progress_.done_) {
        const std::size_t end =
            buffered.find(event_end, std::max(begin, splitter.searched_));
        if (end == std::string::npos)
            break;
        const std::size_t next = end + event_end.size();
        take_event(splitter, buffered.substr(begin, next - begin), events);
        begin = next;
    }
    splitter.pending_.erase(0, begin);
    if (splitter.progress_.done_)
        splitter.pending_.clear();
    // The first half of the end may have arrived.
    splitter.searched_ = splitter.pending_.size() -
                         std::min<std::size_t>(splitter.pending_.size(), 1);
    return events;
}


void begin_run(event_splitter& splitter)
{
    splitter.pending_ = std::string();
    splitter.searched_ = 0;
    splitter.run_tokens_ = splitter.progress_.tokens_;
    begin_run(splitter.join_);
}

} // namespace monsoondock::traffic::pvt

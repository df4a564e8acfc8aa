#include "event_splitter.hpp"

namespace monsoondock::traffic::pvt {

namespace {

constexpr std::string_view event_end = "\n\n";


void count_event(stream_progress& progress, std::string_view event)
{
    if (event.find("data: [DONE]") != std::string_view::npos)
        progress.done_ = true;
    else if (event.find("\"content\":") != std::string_view::npos)
        ++progress.tokens_;
}

} // namespace

std::string take_events(event_splitter& splitter, std::string_view bytes)
{
    splitter.pending_.append(bytes);
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = splitter.pending_.find(event_end, begin);
        if (end == std::string::npos)
            break;
        const std::size_t next = end + event_end.size();
        const std::string_view buffered = splitter.pending_;
        count_event(splitter.progress_, buffered.substr(begin, next - begin));
        begin = next;
    }
    std::string complete = splitter.pending_.substr(0, begin);
    splitter.pending_.erase(0, begin);
    return complete;
}

} // namespace monsoondock::traffic::pvt

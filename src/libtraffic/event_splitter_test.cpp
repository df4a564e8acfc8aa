#include "event_splitter.hpp"

#include <criterion/criterion.h>

using namespace monsoondock::traffic::pvt;


Test(event_splitter, returns_only_complete_events_at_every_split_point)
{
    const std::string stream =
        "data: {\"delta\":{\"content\":\"a \"}}\n\n"
        "data: {\"delta\":{\"content\":\"b \"}}\n\n"
        "data: {\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n";
    for (std::size_t cut = 1; cut < stream.size(); ++cut) {
        event_splitter splitter;
        const std::string first = take_events(splitter, stream.substr(0, cut));
        cr_assert(first.empty() || first.ends_with("\n\n"));
        const std::string second = take_events(splitter, stream.substr(cut));
        cr_assert(first + second == stream);
        cr_assert(splitter.progress_.tokens_ == 2);
        cr_assert(splitter.progress_.done_);
    }
}

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


// Each call searched the whole incomplete event again.
Test(event_splitter, searches_each_byte_once)
{
    event_splitter splitter;
    for (int i = 0; i < 100; ++i) {
        cr_assert(take_events(splitter, "data: a\n").empty());
        cr_assert_eq(splitter.searched_ + 1, splitter.pending_.size());
    }
    cr_assert_eq(take_events(splitter, "\n").size(), 801);
    cr_assert_eq(splitter.searched_, 0);
}


// A stream whose text has the closing mark ended there, as if it were complete.
Test(event_splitter, the_closing_mark_in_a_text_ends_no_stream)
{
    const std::string stream =
        "data: {\"content\":\"write data: [DONE] at the end\"}\n\n"
        "data: {\"content\":\"b\"}\n\n: end\ndata: [DONE]\n\n";
    event_splitter splitter;
    cr_assert(take_events(splitter, stream) == stream);
    cr_assert_eq(splitter.progress_.tokens_, 2);
    cr_assert(splitter.progress_.done_);
}


// Events behind the last one with content came twice when a stream was resumed.
Test(event_splitter, events_behind_the_last_content_are_not_repeated)
{
    const std::string token = "data: {\"content\":\"a\"}\n\n";
    const std::string stop = "data: {\"finish_reason\":\"stop\"}\n\n";
    const std::string done = "data: [DONE]\n\n";
    event_splitter splitter;
    cr_assert(take_events(splitter, token + stop) == token + stop);
    begin_run(splitter);
    cr_assert(take_events(splitter, stop + done) == done);
    cr_assert(splitter.progress_.done_);
}

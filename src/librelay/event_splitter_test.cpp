#include "event_splitter.hpp"

#include <criterion/criterion.h>

namespace base = monsoondock::base;
namespace pvt = monsoondock::relay::pvt;

namespace {

std::uint64_t last_id(const pvt::event_splitter& s)
{
    return s.join_.last_->id_;
}


bool has_failed(const pvt::event_splitter& s)
{
    return s.join_.run_.failure_ != base::join_failure::none;
}

} // namespace


Test(event_splitter, returns_complete_events_only)
{
    pvt::event_splitter s;
    cr_assert(pvt::extract_events(s, "id: 1\ndata: a\n").empty());
    cr_assert(pvt::extract_events(s, "\nid: 2") == "id: 1\ndata: a\n\n");
    cr_assert(s.pending_ == "id: 2");
    cr_assert_eq(last_id(s), 1);
}


Test(event_splitter, skips_events_that_the_receiver_has)
{
    pvt::event_splitter s;
    pvt::extract_events(s, "id: 1\n\nid: 2\n\nid: 3\nda");
    pvt::begin_run(s);
    cr_assert(
        pvt::extract_events(s, "id: 2\n\nid: 3\ndata: c\n\n") ==
        "id: 3\ndata: c\n\n");
}


// Ids only increase: the id of an event may be the number of tokens so far, of
// which an event may hold several. Streams whose first ids were consecutive
// were cut at the first id that wasn't.
Test(event_splitter, gaps_between_ids_are_no_missing_events)
{
    for (const std::string& text :
         {std::string("id: 5\n\nid: 10\n\nid: 15\n\n"),
          std::string("id: 1\n\nid: 2\n\nid: 5\n\nid: 6\n\nid: 12\n\n")}) {
        for (std::size_t cut = 0; cut <= text.size(); ++cut) {
            pvt::event_splitter s;
            std::string events = pvt::extract_events(s, text.substr(0, cut));
            events += pvt::extract_events(s, text.substr(cut));
            cr_assert_not(has_failed(s));
            cr_assert(events == text, "%zu", cut);
        }
    }
}


Test(event_splitter, a_stream_goes_on_after_a_mismatch_elsewhere)
{
    pvt::event_splitter s;
    pvt::extract_events(s, "id: 1\n\nid: 2\n\nid: 5\nda");
    pvt::begin_run(s);
    cr_assert(
        pvt::extract_events(s, "id: 5\n\nid: 9\n\n") == "id: 5\n\nid: 9\n\n");
    cr_assert_not(has_failed(s));
    cr_assert_eq(last_id(s), 9);
}


// A stream that begins anew is recognized by the events that the receiver has.
Test(event_splitter, a_stream_with_gaps_that_begins_anew_repeats_nothing)
{
    pvt::event_splitter s;
    pvt::extract_events(s, "id: 1\n\nid: 2\n\nid: 5\n\n");
    pvt::begin_run(s);
    cr_assert(
        pvt::extract_events(s, "id: 1\n\nid: 2\n\nid: 5\n\nid: 6\n\n") ==
        "id: 6\n\n");
    cr_assert_not(has_failed(s));
}


// An event that begins before the last one received and ends after it can't be
// passed on without repeating a part of it, nor left out.
Test(event_splitter, detects_an_event_that_overlaps_the_last_one)
{
    for (const char* text :
         {"id: 1\n\nid: 2\n\nid: 4\n\nid: 6\n\n", "id: 4\n\nid: 6\n\n"}) {
        pvt::event_splitter s;
        pvt::extract_events(s, "id: 1\n\nid: 2\n\nid: 5\n\n");
        pvt::begin_run(s);
        cr_assert(pvt::extract_events(s, text).empty(), "%s", text);
        cr_assert(has_failed(s), "%s", text);
        cr_assert_eq(last_id(s), 5);
        // Another upstream may go on after the last event received, which it
        // is asked to repeat.
        pvt::begin_run(s);
        cr_assert(pvt::extract_events(s, "id: 5\n\nid: 6\n\n") == "id: 6\n\n");
        cr_assert_not(has_failed(s));
    }
}


Test(event_splitter, accepts_crlf_line_ends)
{
    pvt::event_splitter s;
    const std::string event = "id: 1\r\ndata: a\r\n\r\n";
    cr_assert(pvt::extract_events(s, event) == event);
}


// A stream whose last event was incomplete counted as ended.
Test(event_splitter, part_of_an_event_at_the_end_is_detected)
{
    for (const char* rest : {"id: 2", "id: 2\ndata: b\n", "d", ": a\nid: 2"}) {
        pvt::event_splitter s;
        pvt::extract_events(s, std::string("id: 1\n\n") + rest);
        cr_assert(pvt::ends_inside_event(s), "%s", rest);
    }
}


Test(event_splitter, a_comment_at_the_end_is_not_part_of_an_event)
{
    for (const char* rest : {"", ": ping", ": ping\n", ": a\n: b\n"}) {
        pvt::event_splitter s;
        pvt::extract_events(s, std::string("id: 1\n\n") + rest);
        cr_assert_not(pvt::ends_inside_event(s), "%s", rest);
    }
}


// Each call searched the whole incomplete event again, so that the time for an
// event of many parts grew with the square of its size.
Test(event_splitter, searches_each_byte_once)
{
    const std::string part = "data: a\n";
    pvt::event_splitter s;
    std::string event;
    for (int i = 0; i < 1000; ++i) {
        event += part;
        cr_assert(pvt::extract_events(s, part).empty());
        cr_assert_eq(s.searched_, s.pending_.size());
        cr_assert_eq(s.line_begin_, s.pending_.size());
    }
    cr_assert(pvt::extract_events(s, "\nid: 2") == event + "\n");
    cr_assert_eq(s.line_begin_, 0);
    cr_assert_eq(s.searched_, s.pending_.size());
}


Test(event_splitter, returns_the_same_events_at_every_split_point)
{
    const std::string text = "id: 1\ndata: a\n\n\r\n: c\n\nid: 2\r\n\r\nid: 3";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        pvt::event_splitter s;
        std::string events = pvt::extract_events(s, text.substr(0, cut));
        events += pvt::extract_events(s, text.substr(cut));
        cr_assert(events + s.pending_ == text, "%zu", cut);
        cr_assert(s.pending_ == "id: 3", "%zu", cut);
    }
}


Test(event_splitter, goes_on_with_an_incomplete_event)
{
    pvt::event_splitter s;
    pvt::extract_events(s, "id: 1\ndata: a\nda");
    const std::string part = pvt::take_partial_event(s);
    cr_assert(s.pending_.empty());
    pvt::restore_run(s, base::run_join(s.join_.run_), part);
    cr_assert(
        pvt::extract_events(s, "ta: b\n\n") == "id: 1\ndata: a\ndata: b\n\n");
}


// The header of a second response reached the caller as an event, and the ids
// of its events were taken for those that the caller had.
Test(event_splitter, nothing_behind_the_header_of_a_response_is_an_event)
{
    pvt::event_splitter s;
    const std::string header = "HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\n";
    const auto check = [&](std::string_view block) {
        return block == header;
    };
    cr_assert(
        pvt::extract_events(s, "id: 1\ndata: a\n\n" + header, check) ==
        "id: 1\ndata: a\n\n");
    cr_assert(s.has_second_response_);
    cr_assert(pvt::extract_events(s, "id: 2\ndata: b\n\n", check).empty());
    cr_assert_eq(last_id(s), 1);
}

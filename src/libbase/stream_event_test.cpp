#include <monsoondock/base/stream_event.hpp>

#include <criterion/criterion.h>

#include <vector>

using namespace monsoondock::base;

// An id with wrong bytes counted as the number with which it begins.
Test(stream_event, an_id_is_a_whole_number_or_invalid)
{
    struct id_row
    {
        const char* text_;
        event_id_form form_;
        std::uint64_t id_;
    };
    const std::vector<id_row> rows{
        {"id: 7\ndata: a\n\n", event_id_form::number, 7},
        {"id:7\r\ndata: a\r\n\r\n", event_id_form::number, 7},
        {"data: a\nid: 07\n\n", event_id_form::number, 7},
        {"id: 18446744073709551615\n\n",
         event_id_form::number,
         18446744073709551615ULL},
        {"id: 18446744073709551616\n\n", event_id_form::invalid, 0},
        {"id: 7a\n\n", event_id_form::invalid, 0},
        {"id: 7 \n\n", event_id_form::invalid, 0},
        {"id:  7\n\n", event_id_form::invalid, 0},
        {"id: -7\n\n", event_id_form::invalid, 0},
        {"id:\n\n", event_id_form::invalid, 0},
        {"id\n\n", event_id_form::invalid, 0},
        {"id: 7\nid: 7\n\n", event_id_form::invalid, 0},
        {"ids: 7\ndata: id: 7\n\n", event_id_form::missing, 0},
        {": id: 7\n\n", event_id_form::missing, 0}};
    for (const id_row& r : rows) {
        const stream_event e = read_event(r.text_);
        cr_expect(e.id_form_ == r.form_, "%s", r.text_);
        if (r.form_ == event_id_form::number)
            cr_expect_eq(e.id_, r.id_, "%s", r.text_);
    }
    cr_assert(read_event("data: a\nid: 07\n\n").id_text_ == "07");
}


Test(stream_event, the_id_is_not_part_of_the_content)
{
    const auto content = [](const char* text) {
        return read_event(text).content_;
    };
    cr_assert(content("id: 1\ndata: a\n\n") == content("id: 2\ndata: a\n\n"));
    cr_assert(content("id: 1\ndata: a\n\n") == content("data: a\n\n"));
    cr_assert(content("data: a\nid: 1\n\n") == content("data: a\n\n"));
    cr_assert(content("id: 1\ndata: a\n\n") != content("id: 1\ndata: b\n\n"));
    cr_assert(content("id: 1\ndata: a\n\n") != content("id: 1\nevent: a\n\n"));
}


Test(stream_event, comments_have_no_place_in_a_stream)
{
    for (const char* text :
         {": ping\n\n", "\n", "retry: 10\n\n", "event: a\n\n"})
        cr_assert_not(has_place(read_event(text)), "%s", text);
    for (const char* text : {"data: a\n\n", "data\n\n", "id: 1\n\n"})
        cr_assert(has_place(read_event(text)), "%s", text);
}

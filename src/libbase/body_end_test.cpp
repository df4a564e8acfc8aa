#include <monsoondock/base/body_end.hpp>

#include <criterion/criterion.h>

#include <vector>

using namespace monsoondock::base;

namespace {

struct end_row
{
    const char* name_;
    body_end end_;
    end_verdict verdict_;
};


body_end ended(body_framing framing)
{
    body_end e;
    e.framing_ = framing;
    e.as_framed_ = true;
    return e;
}


body_end closed(host_check host)
{
    body_end e = ended(body_framing::connection_close);
    e.host_ = host;
    return e;
}

} // namespace

// The rows of the table in docs/design/endings.md.
Test(body_end, a_body_is_complete_only_by_evidence)
{
    body_end failed = closed(host_check::accepts);
    failed.as_framed_ = false;
    body_end inside = ended(body_framing::chunked);
    inside.inside_event_ = true;
    body_end twice = closed(host_check::accepts);
    twice.second_response_ = true;
    body_end short_of_length;
    short_of_length.framing_ = body_framing::length;
    body_end done = short_of_length;
    done.has_closing_event_ = true;
    const std::vector<end_row> rows{
        {"length", ended(body_framing::length), end_verdict::complete},
        {"last chunk", ended(body_framing::chunked), end_verdict::complete},
        {"no header", {}, end_verdict::broken_off},
        {"short of the length", short_of_length, end_verdict::broken_off},
        {"last chunk inside an event", inside, end_verdict::broken_off},
        {"closed, not checked",
         closed(host_check::not_made),
         end_verdict::unconfirmed},
        {"closed, host accepts",
         closed(host_check::accepts),
         end_verdict::complete},
        {"closed, host gone",
         closed(host_check::gone),
         end_verdict::broken_off},
        {"closed, check stopped",
         closed(host_check::unknown),
         end_verdict::broken_off},
        {"reset", failed, end_verdict::broken_off},
        {"closed behind two responses", twice, end_verdict::broken_off},
        {"closing event, then cut", done, end_verdict::complete}};
    for (const end_row& row : rows)
        cr_expect(judge(row.end_) == row.verdict_, "%s", row.name_);
}


// A process that is killed closes its connections in order.
Test(body_end, an_orderly_close_alone_is_no_evidence)
{
    cr_assert(
        judge(ended(body_framing::connection_close)) ==
        end_verdict::unconfirmed);
}

#include <monsoondock/quarantine/part_record.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::quarantine;
using namespace std::chrono_literals;

namespace {

const wall_time now{1000s};


part_record make_record()
{
    part_record r;
    update(r, {{{1, 60000ms}}, {}, {2}}, now);
    return r;
}

} // namespace

Test(part_record, round_trip)
{
    const part_record sent = make_record();
    const auto got = decode_part_record(encode(sent));
    cr_assert(base::ok(got));
    cr_assert(base::value(got) == sent);
    cr_assert_not(base::ok(decode_part_record("{\"lost\":[]}")));
}


Test(part_record, news_is_told_once)
{
    const part_record r = make_record();
    const auto news = news_since({}, r, now + 10s);
    cr_assert(news.quarantined_ == (crashes::quarantine_list{{1, 50000ms}}));
    cr_assert(news.survivors_ == std::vector<crashes::prompt_part>{2});
    cr_assert(news_since(r, r, now + 10s).empty());
}


// Guards against ending a quarantine with its trials although a crash has
// confirmed it meanwhile.
Test(part_record, a_longer_quarantine_is_news)
{
    const part_record earlier = make_record();
    part_record r = earlier;
    update(r, {{{1, 600000ms}}, {}, {}}, now);
    const auto news = news_since(earlier, r, now);
    cr_assert(news.quarantined_ == (crashes::quarantine_list{{1, 600000ms}}));
}


Test(part_record, a_survivor_ends_the_quarantine)
{
    part_record r = make_record();
    update(r, {{}, {}, {1}}, now + 1s);
    cr_assert(r.quarantined_.empty());
    update(r, {{{1, 60000ms}}, {}, {}}, now + 2s);
    cr_assert(r.quarantined_.empty());
}


Test(part_record, expired_entries_are_dropped)
{
    part_record r = make_record();
    update(r, {}, now + 60s);
    cr_assert(r == part_record());
}


Test(part_record, an_operator_may_remove_a_quarantine)
{
    const auto news = news_since(make_record(), {}, now);
    cr_assert(news.survivors_ == std::vector<crashes::prompt_part>{1});
}

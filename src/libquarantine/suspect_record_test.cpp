#include <monsoondock/quarantine/suspect_feed.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::quarantine;
using namespace std::chrono_literals;

namespace {

suspect_record make_record()
{
    suspect_record r;
    r.fingerprint_ = fingerprint_request({"w"}, {"copal-llm"}, "{}");
    r.workspace_ = {"w"};
    r.deployment_ = {"copal-llm"};
    r.lost_ = {{{"g1"}, {4}}, {{"g2"}, {1}}};
    r.trial_ = trial{{{"g3"}, {2}}, {"d1"}, "d1-7-1", wall_time(5s)};
    r.lost_at_ = wall_time(4s);
    return r;
}

} // namespace


Test(suspect_record, round_trips_through_json_and_rejects_truncated_text)
{
    const std::string text = encode(make_record());
    const auto back = decode_suspect(text);
    cr_assert(base::ok(back) && base::value(back) == make_record());
    cr_assert(is_quarantined(make_record()));
    for (std::size_t cut = 0; cut < text.size(); ++cut)
        cr_assert(!base::ok(decode_suspect(text.substr(0, cut))));
}


Test(suspect_feed, applies_writes_and_deletions_and_ignores_older_changes)
{
    const std::string key = suspect_object_key(make_record().fingerprint_);
    suspect_feed feed;
    feed.apply(platform::listing{{3}, {{key, {3}, encode(make_record())}}});
    cr_assert(feed.find(make_record().fingerprint_)->version_.value_ == 3);
    feed.apply(platform::change_batch{{3}, {{{key, {2}, ""}, true}}});
    cr_assert(feed.find(make_record().fingerprint_));
    feed.apply(platform::change_batch{{4}, {{{key, {4}, ""}, true}}});
    cr_assert(!feed.find(make_record().fingerprint_));
    cr_assert(feed.version().value_ == 4);
}

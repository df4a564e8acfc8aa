#include "host_digest.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry;

namespace {

pvt::host_entries make_entries(int count)
{
    pvt::host_entries entries;
    for (int i = 0; i < count; ++i) {
        const std::string name = "host-" + std::to_string(i);
        entries[{name}] = {name, {static_cast<std::uint64_t>(i) + 100}, "{}"};
    }
    return entries;
}


std::size_t
count_differing_buckets(const pvt::host_digest& a, const pvt::host_digest& b)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        count += a[i] == b[i] ? 0 : 1;
    return count;
}

} // namespace

Test(host_digest, changed_entry_changes_only_its_bucket)
{
    auto entries = make_entries(250);
    const auto before = pvt::compute_digest(entries);
    entries[{"host-7"}].version_ = {9000};
    entries[{"host-7"}].value_ = "{\"changed\":1}";
    const auto after = pvt::compute_digest(entries);
    cr_assert_eq(count_differing_buckets(before, after), 1);
    cr_assert_neq(
        before[pvt::bucket_of({"host-7"})], after[pvt::bucket_of({"host-7"})]);
}


// After a restore of the store, every follower fetched all entries, though few
// had changed.
Test(host_digest, entries_read_in_two_eras_have_the_same_digest)
{
    const auto before = make_entries(250);
    auto after = before;
    for (auto& [id, entry] : after)
        entry.version_.era_ = 2;
    cr_assert(pvt::compute_digest(before) == pvt::compute_digest(after));
}


Test(host_digest, missing_entry_changes_one_bucket)
{
    auto entries = make_entries(250);
    const auto before = pvt::compute_digest(entries);
    entries.erase({"host-31"});
    cr_assert_eq(
        count_differing_buckets(before, pvt::compute_digest(entries)), 1);
}


Test(host_digest, text_round_trip)
{
    const auto digest = pvt::compute_digest(make_entries(250));
    const auto got = pvt::parse_digest(pvt::to_text(digest));
    cr_assert(got.has_value());
    cr_assert(*got == digest);
    cr_assert_not(pvt::parse_digest("").has_value());
    cr_assert_not(pvt::parse_digest(std::string(pvt::digest_buckets * 16, 'x'))
                      .has_value());
}

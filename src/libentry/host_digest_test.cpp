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
differing_parts(const pvt::host_digest& a, const pvt::host_digest& b)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        count += a[i] == b[i] ? 0 : 1;
    return count;
}

} // namespace

Test(host_digest, only_the_part_of_a_changed_entry_differs)
{
    auto entries = make_entries(250);
    const auto before = pvt::digest_of(entries);
    entries[{"host-7"}].version_ = {9000};
    const auto after = pvt::digest_of(entries);
    cr_assert_eq(differing_parts(before, after), 1);
    cr_assert_neq(
        before[pvt::part_of({"host-7"})], after[pvt::part_of({"host-7"})]);
}


Test(host_digest, a_missing_entry_shows_in_its_part)
{
    auto entries = make_entries(250);
    const auto before = pvt::digest_of(entries);
    entries.erase({"host-31"});
    cr_assert_eq(differing_parts(before, pvt::digest_of(entries)), 1);
}


Test(host_digest, text_comes_back_as_it_was)
{
    const auto digest = pvt::digest_of(make_entries(250));
    const auto got = pvt::parse_digest(pvt::to_text(digest));
    cr_assert(got.has_value());
    cr_assert(*got == digest);
    cr_assert_not(pvt::parse_digest("").has_value());
    cr_assert_not(pvt::parse_digest(std::string(pvt::digest_parts * 16, 'x'))
                      .has_value());
}

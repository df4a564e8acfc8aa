#include "host_change_log.hpp"

#include <criterion/criterion.h>

namespace pvt = monsoondock::entry::pvt;
namespace platform = monsoondock::platform;

namespace {

platform::change make_change(const std::string& key, std::uint64_t version)
{
    return {{key, {version}, "{}"}, false};
}

} // namespace

Test(host_change_log, returns_changes_after_a_sequence_number)
{
    pvt::host_change_log log;
    log.add(make_change("a", 1));
    log.add(make_change("b", 2));
    cr_assert_eq(log.after(0)->size(), 2);
    cr_assert(log.after(1)->front().object_.key_ == "b");
    cr_assert(log.after(2)->empty());
}


Test(host_change_log, returns_nothing_when_changes_are_no_longer_kept)
{
    pvt::host_change_log log;
    for (std::size_t i = 0; i <= pvt::host_change_log::max_changes; ++i)
        log.add(make_change("a", i));
    cr_assert_not(log.after(0).has_value());
    cr_assert(log.after(1).has_value());
    cr_assert_not(log.after(log.sequence() + 1).has_value());
}


Test(host_change_log, an_older_position_of_the_same_log_lacks_nothing)
{
    using pvt::lacks_changes;
    cr_assert_not(lacks_changes({"a.1", 7}, {"a.1", 7}));
    cr_assert_not(lacks_changes({"a.1", 7}, {"a.1", 5}));
    cr_assert(lacks_changes({"a.1", 7}, {"a.1", 8}));
    cr_assert(lacks_changes({"a.1", 7}, {"a.2", 1}));
    cr_assert(lacks_changes({}, {"a.1", 0}));
}

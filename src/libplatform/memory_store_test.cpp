#include <monsoondock/platform/memory_store.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::platform;


Test(memory_store, create_succeeds_only_once)
{
    memory_store store;
    cr_assert(
        std::holds_alternative<written>(store.put("a/1", "{}", if_absent{})));
    cr_assert(std::holds_alternative<condition_failed>(
        store.put("a/1", "{}", if_absent{})));
}


Test(memory_store, conditional_update_rejects_an_old_version)
{
    memory_store store;
    const auto first =
        std::get<written>(store.put("k", "1", if_absent{})).version_;
    store.put("k", "2", if_version{first});
    cr_assert(std::holds_alternative<condition_failed>(
        store.put("k", "3", if_version{first})));
    cr_assert(store.get("k")->value_ == "2");
    cr_assert(
        std::holds_alternative<condition_failed>(store.erase("k", first)));
}


Test(memory_store, changes_since_reports_writes_and_deletes_of_the_prefix)
{
    memory_store store;
    store.put("a/1", "1", if_absent{});
    const version from = store.current();
    const auto created =
        std::get<written>(store.put("a/2", "2", if_absent{})).version_;
    store.put("b/1", "3", if_absent{});
    store.erase("a/2", created);
    const auto batch = store.changes_since("a/", from);
    cr_assert(batch.has_value());
    cr_assert(batch->changes_.size() == 2);
    cr_assert(batch->changes_[1].deleted_);
    cr_assert(batch->next_ == store.current());
}

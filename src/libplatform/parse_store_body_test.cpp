#include <monsoondock/platform/store_dialect.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::platform;

// One value of another writer that Boost.JSON rejects made the whole list or
// batch malformed.
Test(parse_store_body, unreadable_values_affect_no_other_object)
{
    const std::string deep = std::string(40, '[') + std::string(40, ']');
    for (const std::string& value :
         {std::string(R"({"note":"lot \ud83d, \"]"})"), deep}) {
        const std::string bad =
            R"({"key":"k/bad","version":6,"value":)" + value + "}";
        const std::string good =
            "{\"key\":\"k/b\",\"version\":7,\"value\":{\"n\":\"\xff\"}}";
        const auto listed = native_dialect().read_listing_(
            "k/", R"({"version":9,"objects":[)" + bad + "," + good + "]}");
        cr_assert(base::ok(listed), "%s", value.c_str());
        const auto& objects = base::value(listed).part_.objects_;
        cr_assert_eq(objects.size(), 2);
        cr_assert(objects[0].key_ == "k/bad" && objects[0].value_.empty());
        cr_assert(objects[1].value_ == "{\"n\":\"\xff\"}");

        const auto changed = native_dialect().read_changes_(
            "k/", R"({"next":9,"changes":[)" + bad + ",{}," + good + "]}");
        cr_assert(base::ok(changed), "%s", value.c_str());
        cr_assert_eq(base::value(changed).changes_.size(), 2);

        const auto one = native_dialect().read_object_("k/bad", bad);
        cr_assert(base::ok(one) && base::value(one).value_.empty());
    }
}


Test(parse_store_body, malformed_bodies_are_no_list)
{
    for (const char* body :
         {"",
          "[]",
          R"({"version":9})",
          R"({"version":9,"objects":["\ud83d"})",
          R"({"version":"\ud83d","objects":[]})",
          R"({"version":9,"objects":["\ud83d"]]})"})
        cr_assert_not(
            base::ok(native_dialect().read_listing_("k/", body)), "%s", body);
}


// Guards against a part of a response without length and chunks, whose store
// ended early, that is read as a whole one.
Test(parse_store_body, no_part_of_a_body_is_read)
{
    const std::string change =
        R"({"key":"k/a","version":12,"value":{"n":[1,"]}"]}})";
    const std::string listed = R"({"version":12,"objects":[)" + change + "]}";
    const std::string changed = R"({"next":12,"changes":[)" + change + "]}";
    const std::string written = R"({"version":12})";
    const store_dialect& d = native_dialect();
    const auto expect_whole = [](const std::string& whole, const auto& read) {
        for (std::size_t size = 0; size <= whole.size(); ++size) {
            const std::string part = whole.substr(0, size);
            cr_expect_eq(
                base::ok(read(part)), size == whole.size(), "%s", part.c_str());
        }
    };
    expect_whole(change, [&](const std::string& part) {
        return d.read_object_("k/a", part);
    });
    expect_whole(listed, [&](const std::string& part) {
        return d.read_listing_("k/", part);
    });
    expect_whole(changed, [&](const std::string& part) {
        return d.read_changes_("k/", part);
    });
    expect_whole(written, d.read_version_);
}

#include <monsoondock/catalog/catalog.hpp>

#include <criterion/criterion.h>

namespace catalog = monsoondock::catalog;

namespace {

catalog::route make_route(const char* name, const char* prefix)
{
    catalog::route r;
    r.name_ = name;
    r.host_name_ = "sheds.example";
    r.path_prefix_ = prefix;
    r.deployments_ = {{{"a"}, 90}, {{"b"}, 10}};
    return r;
}


catalog::catalog make_catalog()
{
    catalog::catalog c;
    c.routes_ = {
        make_route("short", "/lots/"),
        make_route("long", "/lots/new/"),
        make_route("other", "/chat/")};
    catalog::index_routes(c);
    return c;
}

} // namespace

Test(catalog, longest_prefix_wins)
{
    const auto c = make_catalog();
    const auto* r = catalog::find_route(c, "sheds.example", "/lots/new/7?x=/");
    cr_assert_not_null(r);
    cr_assert(r->name_ == "long");
    cr_assert(
        catalog::find_route(c, "sheds.example", "/lots/newer")->name_ ==
        "short");
}


Test(catalog, host_name_is_compared_without_port_and_case)
{
    const auto c = make_catalog();
    cr_assert_not_null(catalog::find_route(c, "Sheds.Example:80", "/chat/"));
    cr_assert_null(catalog::find_route(c, "yard.example", "/chat/"));
}


Test(catalog, a_prefix_in_the_query_does_not_count)
{
    const auto c = make_catalog();
    cr_assert_null(catalog::find_route(c, "sheds.example", "/?p=/chat/"));
    cr_assert_null(catalog::find_route(c, "sheds.example", "/chat"));
}


Test(catalog, deployments_are_drawn_by_weight)
{
    const auto r = make_route("r", "/");
    cr_assert(catalog::choose_deployment(r, 0.0)->value_ == "a");
    cr_assert(catalog::choose_deployment(r, 0.89)->value_ == "a");
    cr_assert(catalog::choose_deployment(r, 0.91)->value_ == "b");
}


Test(catalog, a_deployment_without_weight_is_never_drawn)
{
    auto r = make_route("r", "/");
    r.deployments_ = {{{"a"}, 1}, {{"b"}, 0}};
    cr_assert(catalog::choose_deployment(r, 0.999)->value_ == "a");
    r.deployments_ = {{{"b"}, 0}};
    cr_assert_null(catalog::choose_deployment(r, 0.5));
}

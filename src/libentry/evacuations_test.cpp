#include "evacuation_watch.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};


pvt::evacuation_set make_set(
    std::uint64_t version, std::uint64_t era, pvt::data_centre_set data_centres)
{
    return {{version, era}, std::move(data_centres)};
}


platform::listing make_list(const std::vector<std::string>& names)
{
    platform::listing list{{9, 1}, {}};
    for (const std::string& name : names)
        list.objects_.push_back({"evacuations/" + name, {9, 1}, "{}"});
    return list;
}


settings::entry_config make_config(bool evacuations)
{
    settings::entry_config config;
    config.daemon_ = {"heredia-1"};
    config.data_centre_ = {"heredia"};
    config.peer_address_ = {"127.0.0.1", 7340};
    config.caller_address_ = {"127.0.0.1", 7341};
    config.platform_address_ = {"127.0.0.1", 7342};
    config.evacuations_ = evacuations;
    return config;
}


platform_adapter make_adapter()
{
    platform_adapter adapter;
    adapter.store_ = &platform::native_dialect();
    adapter.evacuations_prefix_ = "evacuations/";
    return adapter;
}


/// Control plane that knows a plain service with a host in each of four data
/// centres.
struct service
{
    explicit service(bool evacuations) : config_(make_config(evacuations))
    {
        auto catalog = std::make_shared<catalog::catalog>();
        catalog->deployments_[{"ledger"}].id_ = {"ledger"};
        control_.catalog_.catalog_ = catalog;
        for (const char* name : {"heredia", "cartago", "vatva", "naroda"}) {
            fleet::host_info& host = control_.hosts_.hosts_[{name}];
            host.id_ = {name};
            host.deployment_ = {"ledger"};
            host.address_ = "127.0.0.1:80";
            host.data_centre_ = {name};
        }
    }

    std::set<std::string> usable_hosts() const
    {
        std::set<std::string> hosts;
        const auto view = pvt::make_view(control_);
        const auto found = view->upstreams_.find({"ledger"});
        if (found == view->upstreams_.end())
            return hosts;
        for (const relay::upstream& u : found->second)
            hosts.insert(u.host_.value_);
        return hosts;
    }

    settings::entry_config config_;
    platform_adapter adapter_ = make_adapter();
    metrics::registry metrics_;
    pvt::control_plane control_{config_, adapter_, metrics_};
};

} // namespace

// Guards against requests to evacuated data centres, in first attempts, retries
// and resumed streams, which all choose from the view.
Test(evacuations, a_view_omits_the_hosts_of_two_evacuated_data_centres)
{
    service s(true);
    pvt::apply(
        s.control_.evacuations_,
        make_set(5, 0, {{"heredia"}, {"vatva"}}),
        start);
    cr_assert(s.usable_hosts() == std::set<std::string>({"cartago", "naroda"}));
    pvt::apply(s.control_.evacuations_, make_set(6, 0, {{"vatva"}}), start);
    cr_assert_eq(s.usable_hosts().size(), 3);
}


// Guards against a daemon that sends requests to an evacuated data centre until
// it has read the store after its start.
Test(evacuations, a_started_daemon_uses_no_host_before_it_knows_them)
{
    service s(true);
    cr_assert(s.usable_hosts().empty());
    s.control_.evacuations_.presumed_none_ = true;
    cr_assert_eq(s.usable_hosts().size(), 4);
}


// Guards against a change for installations without evacuations.
Test(evacuations, a_daemon_without_the_setting_ignores_them)
{
    service s(false);
    pvt::handle_evacuations(s.control_, {make_set(5, 0, {{"heredia"}})});
    cr_assert_eq(s.usable_hosts().size(), 4);
    cr_assert_not(pvt::repeated_evacuations(s.control_));
}


// Guards against the end of an evacuation by a message that was under way for
// longer than a newer one.
Test(evacuations, an_older_set_after_a_newer_one_is_ignored)
{
    pvt::evacuation_state s;
    const auto begun = pvt::apply(s, make_set(7, 1, {{"heredia"}}), start);
    cr_assert_eq(begun.begun_.size(), 1);
    const auto older = pvt::apply(s, make_set(6, 1, {}), start);
    cr_assert(older.begun_.empty() && older.ended_.empty());
    cr_assert(s.set_.data_centres_.contains({"heredia"}));
}


// Guards against the loss of evacuations that a restored store still has, or no
// longer has, under lower versions than before.
Test(evacuations, the_set_of_a_restored_store_replaces_a_higher_version)
{
    pvt::evacuation_state s;
    pvt::apply(s, make_set(90, 1, {{"heredia"}}), start);
    const auto change = pvt::apply(s, make_set(40, 2, {{"vatva"}}), start);
    cr_assert_eq(change.begun_.size(), 1);
    cr_assert_eq(change.ended_.size(), 1);
    pvt::apply(s, make_set(91, 1, {}), start);
    cr_assert(s.set_ == make_set(40, 2, {{"vatva"}}));
}


// Guards against repeating the end of an evacuation for ever, and against not
// repeating it at all.
Test(evacuations, sets_are_repeated_while_peers_may_have_missed_them)
{
    pvt::evacuation_state s;
    pvt::apply(s, make_set(1, 0, {}), start);
    cr_assert_not(pvt::is_repeated(s, start));
    pvt::apply(s, make_set(2, 0, {{"heredia"}}), start);
    cr_assert(pvt::is_repeated(s, start + 1h));
    pvt::apply(s, make_set(3, 0, {}), start + 1h);
    cr_assert(pvt::is_repeated(s, start + 1h + 29s));
    cr_assert_not(pvt::is_repeated(s, start + 1h + 31s));
}


// Guards against entries that disturb others: all that counts is the name.
Test(evacuations, entries_are_read_by_their_names_alone)
{
    auto list =
        make_list({"heredia", "", "no such place", std::string(300, 'x')});
    list.objects_[0].value_ = "\"not an object\"";
    list.objects_.push_back({"other/vatva", {9, 1}, "{}"});
    const auto set = pvt::read_evacuations(list, "evacuations/");
    cr_assert(set == make_set(9, 1, {{"heredia"}, {"no such place"}}));
}


// Guards against leaving out the data centres that matter when there are very
// many entries.
Test(evacuations, data_centres_with_hosts_are_sent_first)
{
    pvt::evacuation_set set = make_set(3, 0, {{"zz"}});
    for (int i = 0; i < 500; ++i)
        set.data_centres_.insert({"a" + std::to_string(i)});
    const auto sent = pvt::bounded(set, {{"zz"}, {"heredia"}});
    cr_assert_eq(sent.data_centres_.size(), pvt::max_sent_evacuations);
    cr_assert(sent.data_centres_.contains({"zz"}));
    cr_assert(sent.version_ == set.version_);
}


namespace {

// Reads entries whose value is the cold time of a host in milliseconds.
base::result<fleet::host_info>
parse_cold_host(std::string_view id, std::string_view text)
{
    fleet::host_info host;
    host.id_ = {std::string(id)};
    host.deployment_ = {"ledger"};
    host.address_ = "127.0.0.1:80";
    host.data_centre_ = {"heredia"};
    host.cold_time_ = std::chrono::milliseconds(std::stol(std::string(text)));
    return host;
}


/// Control plane that lists a host of a service whose cold hosts have a limit.
struct cold_service : service
{
    cold_service() : service(false)
    {
        adapter_.hosts_prefix_ = "hosts/";
        adapter_.parse_host_ = parse_cold_host;
        auto catalog = std::make_shared<catalog::catalog>();
        catalog::deployment& d = catalog->deployments_[{"ledger"}];
        d.id_ = {"ledger"};
        d.cold_time_ = 3s;
        d.cold_requests_per_second_ = 23;
        control_.catalog_.catalog_ = catalog;
        control_.hosts_.hosts_.clear();
        control_.proxy_ = std::make_unique<relay::reverse_proxy>(
            relay::proxy_config{}, relay::proxy_callbacks{}, metrics_);
    }

    void list(std::uint64_t version, const std::string& value)
    {
        pvt::apply_host_listing(
            control_, {{100}, {{"hosts/h", {version}, value}}});
    }

    base::time_point cold_until() const
    {
        const auto view = pvt::make_view(control_);
        return view->upstreams_.at({"ledger"}).front().cold_until_;
    }
};

} // namespace

// Guards against a cold time that begins again whenever the hosts are listed,
// and one that is not extended as the host became cold again.
Test(cold_hosts, only_another_write_of_an_entry_extends_the_cold_time)
{
    cold_service s;
    s.list(1, "60000");
    const base::time_point first = s.cold_until();
    cr_assert_gt(first, base::boot_clock::now() + 50s);
    s.list(1, "60000");
    cr_assert(s.cold_until() == first);
    s.list(2, "60000");
    cr_assert(s.cold_until() > first);
    s.list(3, "0");
    cr_assert(s.cold_until() == base::time_point());
}


// Guards against followers that do not learn that a host became cold again,
// because its entry reads as before.
Test(cold_hosts, a_host_that_is_cold_again_is_announced)
{
    cold_service s;
    s.list(1, "60000");
    const auto before = s.control_.hosts_.change_log_.sequence();
    s.list(1, "60000");
    cr_assert_eq(s.control_.hosts_.change_log_.sequence(), before);
    s.list(2, "60000");
    cr_assert_eq(s.control_.hosts_.change_log_.sequence(), before + 1);
}


// Guards against full load on hosts that have become cold during an evacuation.
Test(cold_hosts, all_hosts_are_cold_when_an_evacuation_ends)
{
    cold_service s;
    s.list(1, "0");
    auto& evacuations = s.control_.evacuations_;
    const base::time_point now = base::boot_clock::now();
    pvt::apply(evacuations, make_set(5, 0, {{"heredia"}}), now);
    pvt::apply(evacuations, make_set(6, 0, {}), now);
    cr_assert(s.cold_until() == now + 3s);
}

#include <monsoondock/relay/choose_upstream.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};


upstream make_upstream(const std::string& host, const std::string& centre)
{
    upstream u;
    u.host_ = {host};
    u.data_centre_ = {centre};
    u.slots_ = 10;
    u.model_ = "m";
    return u;
}


/// Two upstreams in the local data centre and one in another.
struct sample
{
    std::vector<upstream> all_{
        make_upstream("a", "here"),
        make_upstream("b", "here"),
        make_upstream("c", "there")};
    upstream_table upstream_table_;
    choice_request request_{"m", {"here"}, {}, start, 0};


    std::string choose()
    {
        const auto i = choose_upstream(all_, upstream_table_, request_);
        return i ? all_[*i].host_.value_ : "none";
    }
};

} // namespace

Test(choose_upstream, chooses_the_least_loaded_including_peer_loads)
{
    sample s;
    s.upstream_table_.state_of({"a"}).in_flight_ = 1;
    cr_assert(s.choose() == "b");
    s.upstream_table_.set_peer_loads({"peer"}, {{{"b"}, 3}});
    cr_assert(s.choose() == "a");
}


Test(choose_upstream, leaves_the_data_centre_only_for_clearly_less_load)
{
    sample s;
    s.upstream_table_.state_of({"a"}).in_flight_ = 1;
    s.upstream_table_.state_of({"b"}).in_flight_ = 1;
    cr_assert(s.choose() != "c");
    s.upstream_table_.state_of({"a"}).in_flight_ = 5;
    s.upstream_table_.state_of({"b"}).in_flight_ = 5;
    cr_assert(s.choose() == "c");
}


Test(choose_upstream, unhealthy_upstreams_are_the_last_resort)
{
    sample s;
    s.upstream_table_.state_of({"a"}).unhealthy_until_ = start + 1s;
    s.upstream_table_.state_of({"b"}).unhealthy_until_ = start + 1s;
    cr_assert(s.choose() == "c");
    s.request_.tried_.insert({"c"});
    cr_assert(s.choose() != "none");
}


Test(choose_upstream, never_chooses_a_tried_one_or_another_model)
{
    sample s;
    s.request_.tried_ = {{"a"}, {"b"}, {"c"}};
    cr_assert(s.choose() == "none");
    s.request_.tried_.clear();
    s.request_.model_ = "other";
    cr_assert(s.choose() == "none");
}


Test(choose_upstream, slow_upstreams_get_fewer_requests)
{
    sample s;
    s.upstream_table_.state_of({"a"}).event_interval_ms_ = 400;
    s.upstream_table_.state_of({"b"}).event_interval_ms_ = 50;
    s.upstream_table_.state_of({"c"}).event_interval_ms_ = 50;
    s.upstream_table_.state_of({"b"}).in_flight_ = 5;
    cr_assert(s.choose() != "a");
}


Test(choose_upstream, free_slots_are_those_of_the_least_loaded)
{
    sample s;
    s.upstream_table_.state_of({"a"}).in_flight_ = 12;
    s.upstream_table_.state_of({"b"}).in_flight_ = 11;
    s.upstream_table_.state_of({"c"}).unhealthy_until_ = start + 1s;
    cr_assert_eq(
        *max_free_slots(s.all_, s.upstream_table_, "m", {}, start), -1);
    cr_assert_not(max_free_slots(s.all_, s.upstream_table_, "other", {}, start)
                      .has_value());
}

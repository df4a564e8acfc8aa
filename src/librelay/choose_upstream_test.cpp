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


// Operators may turn learned capacity on at any time; as long as all upstreams
// keep their pace, the choice must not change.
Test(choose_upstream, equal_upstreams_are_chosen_as_without_learned_capacity)
{
    for (unsigned a = 0; a < 8; ++a) {
        for (unsigned b = 0; b < 8; ++b) {
            for (const double unreported : {1.0, 5.0, 40.0}) {
                sample s;
                s.upstream_table_.state_of({"a"}).in_flight_ = a;
                s.upstream_table_.state_of({"b"}).in_flight_ = b;
                s.request_.unreported_requests_ = unreported;
                s.request_.random_fraction_ = 0.7;
                const std::string by_slots = s.choose();
                s.request_.learned_capacity_ = true;
                cr_assert(s.choose() == by_slots);
            }
        }
    }
}


Test(choose_upstream, learned_stragglers_get_nothing_while_others_have_room)
{
    sample s;
    s.request_.learned_capacity_ = true;
    s.upstream_table_.state_of({"a"}).pace_.relative_ = 4;
    s.upstream_table_.state_of({"b"}).in_flight_ = 9;
    s.upstream_table_.state_of({"c"}).in_flight_ = 9;
    cr_assert(s.choose() != "a");
    s.upstream_table_.state_of({"b"}).in_flight_ = 25;
    s.upstream_table_.state_of({"c"}).in_flight_ = 25;
    cr_assert(s.choose() == "a");
}


Test(choose_upstream, load_is_divided_by_the_learned_limit)
{
    sample s;
    s.request_.learned_capacity_ = true;
    s.upstream_table_.state_of({"a"}).in_flight_ = 4;
    s.upstream_table_.state_of({"b"}).in_flight_ = 3;
    s.upstream_table_.state_of({"c"}).in_flight_ = 9;
    cr_assert(s.choose() == "b");
    s.upstream_table_.state_of({"b"}).pace_.limit_share_ = 0.5;
    cr_assert(s.choose() == "a");
}


// The pace must have no effect before operators ask for it.
Test(choose_upstream, without_learned_capacity_the_pace_is_not_regarded)
{
    sample s;
    s.upstream_table_.state_of({"a"}).pace_.relative_ = 4;
    s.upstream_table_.state_of({"b"}).in_flight_ = 1;
    cr_assert(s.choose() == "a");
}

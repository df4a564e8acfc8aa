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


/// Two upstreams of one data centre and one of another.
struct sample
{
    std::vector<upstream> all_{
        make_upstream("a", "here"),
        make_upstream("b", "here"),
        make_upstream("c", "there")};
    upstream_board board_;
    choice_request request_{"m", {"here"}, {}, start, 0};


    std::string choose()
    {
        const auto i = choose_upstream(all_, board_, request_);
        return i ? all_[*i].host_.value_ : "none";
    }
};

} // namespace

Test(choose_upstream, takes_the_least_loaded_with_peers_counted)
{
    sample s;
    s.board_.of({"a"}).in_flight_ = 1;
    cr_assert(s.choose() == "b");
    s.board_.set_peer_loads({"peer"}, {{{"b"}, 3}});
    cr_assert(s.choose() == "a");
}


Test(choose_upstream, goes_elsewhere_only_for_clearly_less_load)
{
    sample s;
    s.board_.of({"a"}).in_flight_ = 1;
    s.board_.of({"b"}).in_flight_ = 1;
    cr_assert(s.choose() != "c");
    s.board_.of({"a"}).in_flight_ = 5;
    s.board_.of({"b"}).in_flight_ = 5;
    cr_assert(s.choose() == "c");
}


Test(choose_upstream, doubted_upstreams_are_the_last_resort)
{
    sample s;
    s.board_.of({"a"}).unhealthy_until_ = start + 1s;
    s.board_.of({"b"}).unhealthy_until_ = start + 1s;
    cr_assert(s.choose() == "c");
    s.request_.tried_.insert({"c"});
    cr_assert(s.choose() != "none");
}


Test(choose_upstream, never_takes_one_twice_or_of_another_model)
{
    sample s;
    s.request_.tried_ = {{"a"}, {"b"}, {"c"}};
    cr_assert(s.choose() == "none");
    s.request_.tried_.clear();
    s.request_.model_ = "other";
    cr_assert(s.choose() == "none");
}


Test(choose_upstream, slow_upstreams_get_less)
{
    sample s;
    s.board_.of({"a"}).event_interval_ms_ = 400;
    s.board_.of({"b"}).event_interval_ms_ = 50;
    s.board_.of({"c"}).event_interval_ms_ = 50;
    s.board_.of({"b"}).in_flight_ = 5;
    cr_assert(s.choose() != "a");
}


Test(choose_upstream, spare_places_are_those_of_the_best)
{
    sample s;
    s.board_.of({"a"}).in_flight_ = 12;
    s.board_.of({"b"}).in_flight_ = 11;
    s.board_.of({"c"}).unhealthy_until_ = start + 1s;
    cr_assert_eq(*most_spare_places(s.all_, s.board_, "m", start), -1);
    cr_assert_not(
        most_spare_places(s.all_, s.board_, "other", start).has_value());
}

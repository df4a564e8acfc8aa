#include "wait_limits.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay::pvt;
using namespace std::chrono_literals;

namespace {

/// Exchange with an engine whose longest pass takes 271 ms when the time factor
/// of the model is 1.
struct sample
{
    explicit sample(catalog::request_kind kind, double time_factor = 1.0)
    {
        catalog::deployment d;
        d.id_ = {"llm"};
        d.engine_.emplace();
        d.engine_->models_ = {{"m", 4, time_factor, 1.0, 16000ms, 1600ms}};
        d.engine_->slots_ = 17;
        d.engine_->step_ms_ = 7.8;
        d.engine_->step_per_request_ms_ = 0.0947;
        d.engine_->prefill_tokens_per_ms_ = 45.9;
        d.engine_->prefill_chunk_tokens_ = 2048;
        d.engine_->steps_per_scheduling_pass_ = 5;
        auto c = std::make_shared<catalog::catalog>();
        c->deployments_[d.id_] = d;
        route_.kind_ = kind;
        route_.deployments_ = {{{"llm"}, 1.0}};
        route_.target_latency_ = 300ms;
        auto view = std::make_shared<relay::serving_view>();
        view->catalog_ = c;
        exchange_.view_ = view;
        exchange_.route_ = &route_;
        exchange_.model_ = "m";
        exchange_.prompt_tokens_ = 1420;
    }

    catalog::route route_;
    exchange exchange_;
};

} // namespace

Test(wait_limits, a_pass_full_of_prefill_is_within_the_limit)
{
    sample s(catalog::request_kind::resumable_stream);
    s.exchange_.phase_ = wait_phase::next_event;
    cr_assert(wait_limit(s.exchange_) > 271ms);
    cr_assert(wait_limit(s.exchange_) < 400ms);
}


Test(wait_limits, a_faster_model_has_a_shorter_limit)
{
    sample large(catalog::request_kind::resumable_stream);
    sample small(catalog::request_kind::resumable_stream, 0.6);
    large.exchange_.phase_ = wait_phase::next_event;
    small.exchange_.phase_ = wait_phase::next_event;
    cr_assert(wait_limit(small.exchange_) < wait_limit(large.exchange_));
}


Test(wait_limits, the_first_event_limit_includes_the_prefill)
{
    sample s(catalog::request_kind::resumable_stream);
    s.exchange_.phase_ = wait_phase::first_response;
    const auto usual = wait_limit(s.exchange_);
    s.exchange_.prompt_tokens_ = 5880;
    cr_assert(wait_limit(s.exchange_) > usual + 150ms);
}


// Guards against a stream that never ends: a worker dropped the response to one
// request while it went on serving others (inc-6b7f).
Test(wait_limits, a_stream_that_alone_stalls_is_rerouted)
{
    sample s(catalog::request_kind::resumable_stream);
    s.exchange_.phase_ = wait_phase::next_event;
    cr_assert(stall_limit(s.exchange_) > wait_limit(s.exchange_));
    cr_assert(stall_limit(s.exchange_) < 2000ms);
    s.exchange_.phase_ = wait_phase::none;
    cr_assert(stall_limit(s.exchange_) == 0ns);
}


Test(wait_limits, an_at_most_once_request_waits_until_its_deadline)
{
    sample s(catalog::request_kind::at_most_once);
    s.exchange_.phase_ = wait_phase::first_response;
    cr_assert(wait_limit(s.exchange_) == 0ns);
    cr_assert(stall_limit(s.exchange_) == 0ns);
}


// During a shutdown, requests to a service without an engine were rejected for
// their deadline alone, although they would have ended in time.
Test(wait_limits, a_service_without_an_engine_ends_by_its_target_latency)
{
    sample s(catalog::request_kind::at_most_once);
    const base::time_point now{1000s};
    s.exchange_.model_ = "";
    s.exchange_.deadline_ = now + 20s;
    cr_assert(expected_end(s.exchange_, now) == now + 600ms);
}


// A stream without token counts was accepted at any time of a shutdown and cut.
Test(wait_limits, a_stream_of_unknown_length_ends_by_its_deadline)
{
    sample s(catalog::request_kind::resumable_stream);
    const base::time_point now{1000s};
    s.exchange_.deadline_ = now + 8s;
    s.exchange_.answer_tokens_ = 0;
    cr_assert(expected_end(s.exchange_, now) == now + 8s);
    s.exchange_.answer_tokens_ = 170;
    cr_assert(expected_end(s.exchange_, now) < now + 5s);
}

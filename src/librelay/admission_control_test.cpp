#include "admission_control.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay;
using namespace monsoondock::relay::pvt;
using namespace std::chrono_literals;

namespace {

const base::deployment_id deployment{"d"};
constexpr unsigned slots = 4;


catalog::engine make_engine()
{
    catalog::engine e;
    e.slots_ = slots;
    e.step_ms_ = 10;
    e.prefill_tokens_per_ms_ = 40;
    e.mean_prompt_tokens_ = 500;
    e.mean_answer_tokens_ = 100;
    catalog::model m;
    m.name_ = "m";
    e.models_.push_back(m);
    return e;
}


/// A traffic thread with two upstreams of one deployment, and a request for it.
struct fixture
{
    explicit fixture(admission_rule rule, const std::string& model = "m")
        : thread_(make_config(rule), {}, metrics_)
    {
        route_.name_ = "r";
        route_.kind_ = catalog::request_kind::at_most_once_stream;
        route_.target_latency_ = 500ms;
        auto c = std::make_shared<catalog::catalog>();
        c->deployments_[deployment] = {deployment, 100, {}};
        if (!model.empty())
            c->deployments_[deployment].engine_ = make_engine();
        catalog_ = c;
        view_ = std::make_shared<serving_view>();
        view_->catalog_ = catalog_;
        for (const char* host : {"a", "b"}) {
            upstream u;
            u.host_ = {host};
            u.slots_ = slots;
            u.model_ = model;
            view_->upstreams_[deployment].push_back(u);
        }
        thread_.view_ = view_;
        request_.view_ = view_;
        request_.route_ = &route_;
        request_.deployment_ = deployment;
        request_.model_ = model;
        request_.received_ = base::boot_clock::now();
        request_.deadline_ = request_.received_ + 8s;
    }

    static proxy_config make_config(admission_rule rule)
    {
        proxy_config config;
        config.admission_ = rule;
        return config;
    }

    void set_in_flight(unsigned requests)
    {
        for (const char* host : {"a", "b"})
            thread_.upstream_table_.state_of({host}).in_flight_ = requests;
    }

    void set_peer_loads(unsigned requests)
    {
        for (const char* host : {"a", "b"})
            thread_.upstream_table_.state_of({host}).peer_loads_[{"p"}] =
                requests;
    }

    std::optional<admission_refusal> check()
    {
        return check_admission(thread_, request_, 2600ms);
    }

    metrics::registry metrics_;
    proxy_thread thread_;
    catalog::route route_;
    std::shared_ptr<catalog::catalog> catalog_;
    std::shared_ptr<serving_view> view_;
    exchange request_;
};

} // namespace

// Guards installations without the setting against another admission.
Test(admission_control, the_queue_decides_without_the_setting)
{
    fixture f(admission_rule::queue);
    f.set_in_flight(slots + 2);
    cr_expect_not(f.check().has_value());
    f.set_in_flight(slots + 3);
    const auto refusal = f.check();
    cr_assert(refusal.has_value());
    cr_expect(refusal->reason_.empty());
    cr_expect_not(refusal->retry_after_.has_value());
    cr_expect(f.thread_.admissions_.empty());
}


// Guards against refusals of requests that would be in time.
Test(admission_control, the_prediction_decides_with_the_setting)
{
    fixture f(admission_rule::latency);
    // Less than four per second are completed; a target of 10 s permits more.
    f.route_.target_latency_ = 10s;
    f.set_in_flight(slots + 3);
    cr_expect_not(f.check().has_value());
    f.route_.target_latency_ = 500ms;
    f.set_in_flight(slots + 14);
    const auto refusal = f.check();
    cr_assert(refusal.has_value());
    cr_expect(refusal->reason_ == "queue_full");
    cr_expect_gt(refusal->predicted_.count(), 500'000'000);
    cr_expect(refusal->retry_after_.has_value());
}


// Guards against requests that are held until their deadline, and against
// predictions above it.
Test(admission_control, what_cannot_begin_in_time_is_refused)
{
    fixture f(admission_rule::latency);
    f.set_in_flight(slots + 200);
    const auto refusal = f.check();
    cr_assert(refusal.has_value());
    cr_expect(refusal->reason_ == "too_late");
    cr_expect_leq(refusal->predicted_.count(), 8'000'000'000);
}


// Guards against predictions from figures that are not published.
Test(admission_control, the_queue_decides_without_engine_figures)
{
    fixture f(admission_rule::latency);
    f.catalog_->deployments_[deployment].engine_->mean_answer_tokens_ = 0;
    f.set_in_flight(slots + 2);
    cr_expect_not(f.check().has_value());
    f.set_in_flight(slots + 3);
    const auto refusal = f.check();
    cr_assert(refusal.has_value());
    cr_expect(refusal->reason_.empty());
}


// Guards against telling a caller that a request has not run which another
// daemon has sent already.
Test(admission_control, a_request_that_has_been_sent_is_admitted)
{
    fixture f(admission_rule::latency);
    f.set_in_flight(slots + 200);
    f.request_.possible_runs_ = 1;
    cr_expect_not(f.check().has_value());
}


// Guards against predictions from old loads of peers.
Test(admission_control, the_limit_by_the_queue_applies_without_load_reports)
{
    fixture f(admission_rule::latency);
    f.view_->daemons_ = 2;
    f.set_peer_loads(slots + 2);
    cr_expect_not(f.check().has_value());
    f.set_peer_loads(slots + 3);
    const auto refusal = f.check();
    cr_assert(refusal.has_value());
    cr_expect(refusal->reason_ == "queue_full");
    // By the requests of this daemon alone.
    cr_expect_lt(refusal->predicted_.count(), 500'000'000);
}


// Guards against refusals by a service before its calls have been measured, and
// against a queue of it that lasts until the deadline.
Test(admission_control, a_plain_service_is_measured_first)
{
    fixture f(admission_rule::latency, "");
    f.route_.target_latency_ = 150ms;
    f.set_in_flight(slots + 100);
    cr_expect_not(f.check().has_value());
    const upstream target = f.view_->upstreams_[deployment].front();
    // Calls that may have waited for a slot don't count.
    for (unsigned i = 0; i < 100; ++i)
        record_call_time(f.thread_, f.request_, target, 5s);
    cr_expect_not(f.check().has_value());
    f.set_in_flight(slots - 1);
    for (unsigned i = 0; i < 100; ++i)
        record_call_time(f.thread_, f.request_, target, 30ms);
    cr_expect_not(f.check().has_value());
    f.set_in_flight(slots + 200);
    const auto refusal = f.check();
    cr_assert(refusal.has_value());
    cr_expect(refusal->reason_ == "queue_full");
}


// Guards against a state for each model that callers name.
Test(admission_control, there_is_no_state_of_models_without_upstreams)
{
    fixture f(admission_rule::latency);
    f.request_.model_ = "unknown";
    cr_expect_not(f.check().has_value());
    cr_expect(f.thread_.admissions_.empty());
}

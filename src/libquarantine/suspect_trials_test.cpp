#include <monsoondock/quarantine/suspect_feed.hpp>
#include <monsoondock/quarantine/suspect_registry.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::quarantine;
using namespace std::chrono_literals;

namespace {

const base::deployment_id MODEL{"m"};
const group_instance GROUP_A{{"a"}, {1}};
const group_instance GROUP_B{{"b"}, {2}};


template <class Command>
const Command* find(const suspect_registry::commands& commands)
{
    for (const quarantine_command& c : commands)
        if (const auto* found = std::get_if<Command>(&c))
            return found;
    return nullptr;
}


// A registry whose store calls are answered by hand. The request has lost group
// A, and its record is in the store.
struct fixture
{
    suspect_registry registry_{{"d"}, "d-1-"};
    base::time_point now_{100s};
    platform::version version_{0};
    suspect_registry::commands commands_;

    fixture()
    {
        commands_ = registry_.feed_listed({version_, {}}, now());
        commands_ = registry_.request_permit(query("r0"), now());
        registry_.dispatched({"r0"}, GROUP_A);
        registry_.group_lost(MODEL, GROUP_A, now());
        commands_ = registry_.tick(now());
        const put_suspect put = expect<put_suspect>();
        commands_ = registry_.write_answered(put.id_, apply(put), now());
        show_in_feed(put);
    }

    clock_reading now() const
    {
        return {
            now_,
            wall_time(std::chrono::floor<std::chrono::milliseconds>(
                now_.time_since_epoch()))};
    }

    static dispatch_query query(const char* request)
    {
        dispatch_query q;
        q.request_ = {request};
        q.workspace_ = {"w"};
        q.deployment_ = MODEL;
        q.fingerprint_ = fingerprint_request(q.workspace_, MODEL, "body");
        q.available_groups_ = {GROUP_B};
        return q;
    }

    template <class Command>
    Command expect() const
    {
        const auto* found = find<Command>(commands_);
        cr_assert(found != nullptr);
        return *found;
    }

    platform::write_outcome apply(const put_suspect&)
    {
        ++version_.value_;
        return platform::written{version_};
    }

    void show_in_feed(const put_suspect& put)
    {
        commands_ = registry_.feed_changed(
            {version_, {{{put.key_, version_, put.value_}, false}}}, now());
    }

    put_suspect ask_for_trial(const char* request)
    {
        commands_ = registry_.request_permit(query(request), now());
        return expect<put_suspect>();
    }

    void pass(std::chrono::milliseconds time)
    {
        now_ += time;
        commands_ = registry_.tick(now());
    }

    // The record must be written without a trial, and the next request must get
    // one.
    void expect_trial_cleared()
    {
        const auto put = expect<put_suspect>();
        const auto record = decode_suspect(put.value_);
        cr_assert(base::ok(record));
        cr_assert(!base::value(record).trial_);
        cr_assert_eq(base::value(record).lost_.size(), 1);
        commands_ = registry_.write_answered(put.id_, apply(put), now());
        show_in_feed(put);
        const auto trial = ask_for_trial("r-next");
        commands_ = registry_.write_answered(trial.id_, apply(trial), now());
        show_in_feed(trial);
        cr_assert_eq(expect<permit_dispatch>().request_.value_, "r-next");
    }
};

} // namespace


// Guards against a trial that stays in the store, and bars its request from all
// daemons for trial_timeout_, after the response to its write was lost and the
// store did not respond to the read either.
Test(suspect_trials, a_trial_is_cleared_whose_write_and_read_had_no_response)
{
    fixture f;
    const auto put = f.ask_for_trial("r1");
    f.commands_ = f.registry_.write_answered(
        put.id_, platform::answer_lost{"timeout"}, f.now());
    const auto read = f.expect<read_suspect>();
    f.commands_ = f.registry_.read_failed(read.id_, f.now());
    cr_assert_eq(
        f.expect<refuse_dispatch>().reason_,
        quarantine_refusal::store_unavailable);
    f.pass(300ms);
    f.pass(100ms);
    f.apply(put);
    f.show_in_feed(put);
    f.expect_trial_cleared();
}


// Guards against the same when another request has asked for a trial before the
// write became visible.
Test(suspect_trials, a_trial_is_cleared_that_another_one_was_to_replace)
{
    fixture f;
    const auto put = f.ask_for_trial("r1");
    f.commands_ = f.registry_.write_answered(
        put.id_, platform::answer_lost{"timeout"}, f.now());
    const auto read = f.expect<read_suspect>();
    f.commands_ = f.registry_.read_failed(read.id_, f.now());
    f.commands_ = f.registry_.request_permit(fixture::query("r2"), f.now());
    f.apply(put);
    f.show_in_feed(put);
    f.pass(300ms);
    const auto second = f.expect<put_suspect>();
    const auto record = decode_suspect(second.value_);
    cr_assert(base::ok(record) && base::value(record).trial_);
    cr_assert_neq(
        base::value(record).trial_->token_,
        base::value(decode_suspect(put.value_)).trial_->token_);
    f.commands_ =
        f.registry_.write_answered(second.id_, f.apply(second), f.now());
    f.show_in_feed(second);
    cr_assert_eq(f.expect<permit_dispatch>().request_.value_, "r2");
}


// Guards against the same when the caller disconnects during the write and
// sends the request again.
Test(suspect_trials, a_trial_is_cleared_whose_caller_left_during_its_write)
{
    fixture f;
    const auto put = f.ask_for_trial("r1");
    f.commands_ = f.registry_.abandoned({"r1"}, f.now());
    f.commands_ = f.registry_.request_permit(fixture::query("r2"), f.now());
    f.commands_ = f.registry_.write_answered(put.id_, f.apply(put), f.now());
    const auto second = f.expect<put_suspect>();
    f.commands_ =
        f.registry_.write_answered(second.id_, f.apply(second), f.now());
    f.show_in_feed(second);
    cr_assert_eq(f.expect<permit_dispatch>().request_.value_, "r2");
}

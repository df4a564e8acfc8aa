#include "chat_session_test.hpp"

#include <boost/json/parse.hpp>
#include <criterion/criterion.h>

#include <array>

using namespace monsoondock;
using namespace monsoondock::traffic;
using namespace std::chrono_literals;
using traffic::test::caller_response;
using traffic::test::test_server;

Test(answer_integrity, one_connection_carries_many_complete_streams)
{
    test_server r;
    for (int i = 0; i < 200; ++i) {
        const std::string prompt = "p" + std::to_string(i);
        const caller_response answer = r.complete_chat(prompt);
        cr_assert(answer.complete_);
        cr_assert(answer.text_ == test::expected_answer(prompt));
    }
}


Test(answer_integrity, fault_of_one_engine_is_hidden_from_caller)
{
    constexpr std::array all{
        test::engine_fault::truncated,
        test::engine_fault::missing_done_event,
        test::engine_fault::wrong_request_id,
        test::engine_fault::duplicated};
    test_server r;
    for (int i = 0; i < 100; ++i) {
        r.first_.inject_faults(all.at(i % all.size()), 1);
        const std::string prompt = "p" + std::to_string(i);
        const caller_response answer = r.complete_chat(prompt);
        cr_assert(answer.complete_, "request %d", i);
        cr_assert(answer.text_ == test::expected_answer(prompt));
    }
}


Test(answer_integrity, persistently_truncated_stream_is_not_reported_complete)
{
    test_server r;
    r.inject_faults(test::engine_fault::truncated, 1000);
    const caller_response answer = r.complete_chat("p");
    cr_assert(!answer.complete_);
    cr_assert(answer.status_ == 200 || answer.status_ == 503);
}


Test(answer_integrity, refusal_by_all_engines_is_reported_as_not_run)
{
    test_server r;
    r.inject_faults(test::engine_fault::stale_generation, 1000);
    const caller_response answer = r.complete_chat("p");
    cr_assert(answer.status_ == 503);
    const auto problem = boost::json::parse(answer.body_);
    cr_assert(problem.at("run").as_string() == "not_run");
}


Test(answer_integrity, no_request_is_sent_after_evidence_expired)
{
    test_server r;
    r.publish(base::boot_clock::now() - 1ns);
    const caller_response answer = r.complete_chat("p");
    cr_assert(answer.status_ == 503);
    cr_assert(r.first_.requests() + r.second_.requests() == 0);
}

#include "server_session_test.hpp"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/json/parse.hpp>
#include <criterion/criterion.h>

#include <array>

using namespace monsoondock;
using namespace monsoondock::traffic;
using namespace std::chrono_literals;
using test::caller_response;
using test::server_session;


Test(answer_integrity, one_connection_carries_many_complete_streams)
{
    server_session r;
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
    server_session r;
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
    server_session r;
    r.inject_faults(test::engine_fault::truncated, 1000);
    const caller_response answer = r.complete_chat("p");
    cr_assert(!answer.complete_);
    cr_assert(answer.status_ == 200 || answer.status_ == 503);
}


Test(answer_integrity, refusal_by_all_engines_is_reported_as_not_run)
{
    server_session r;
    r.inject_faults(test::engine_fault::stale_generation, 1000);
    const caller_response answer = r.complete_chat("p");
    cr_assert(answer.status_ == 503);
    const auto problem = boost::json::parse(answer.body_);
    cr_assert(problem.at("run").as_string() == "not_run");
}


Test(answer_integrity, no_request_is_sent_after_evidence_expired)
{
    server_session r;
    r.publish(base::boot_clock::now() - 1ns);
    const caller_response answer = r.complete_chat("p");
    cr_assert(answer.status_ == 503);
    cr_assert(r.first_.requests() + r.second_.requests() == 0);
}


namespace {

// Has the first engine break streams off, and the second one answer what is to
// go on behind them with a fault. Expects no answer that looks complete and is
// not the engine's.
void resume_at_faulty_engine(test::engine_fault fault, bool may_stand_alone)
{
    server_session r;
    int cut = 0;
    for (int i = 0; i < 40; ++i) {
        r.first_.inject_faults(test::engine_fault::truncated, 3);
        r.second_.inject_faults(fault, 3);
        const std::string prompt = "p" + std::to_string(i);
        const caller_response answer = r.complete_chat(prompt);
        const bool whole = answer.text_ == test::expected_answer(prompt);
        const bool alone = may_stand_alone && answer.body_ == "{}";
        cr_assert(
            !answer.complete_ || whole || alone,
            "%d: %s",
            i,
            answer.body_.c_str());
        // Bytes in which the caller found no chunk.
        const std::string rest =
            boost::beast::buffers_to_string(r.buffer_.data());
        cr_assert(
            rest.find("HTTP/1.1") == std::string::npos, "%s", rest.c_str());
        if (answer.complete_ || alone)
            continue;
        ++cut;
        r.socket_ = r.connect();
        r.buffer_.clear();
    }
    cr_assert_gt(cut, 0);
}

} // namespace


// A resumed stream that began anew was joined, and its events came twice.
Test(answer_integrity, a_run_that_begins_anew_is_not_joined)
{
    resume_at_faulty_engine(test::engine_fault::begins_anew, false);
}


// A body that is no stream followed the events of a stream that had broken off,
// with a second header between them.
Test(answer_integrity, a_body_does_not_follow_a_stream)
{
    resume_at_faulty_engine(test::engine_fault::no_stream, true);
}

#include "server_session_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::traffic::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
// What the socket buffers of both ends may hold besides the bytes that the
// server has read.
constexpr std::size_t in_transit_bytes = 12 * mebibyte;
// Longer than a test takes; the wait ends earlier.
constexpr std::chrono::milliseconds patience{30000};


void assert_closed(const fake_engine& engine, std::size_t bound)
{
    cr_assert(engine.wait_for_end_of_faults(patience));
    cr_assert_leq(
        engine.endless_bytes(),
        bound + in_transit_bytes,
        "%zu bytes",
        engine.endless_bytes());
}


// When all engines have the fault, the request is not answered, and the server
// reads at most bound bytes of each. When one of them has it, the other one
// answers.
void assert_no_answer(engine_fault fault, std::size_t bound)
{
    server_session all;
    all.inject_faults(fault, 1000);
    const caller_response answer = all.complete_chat("p");
    cr_assert(!answer.complete_);
    cr_assert_neq(answer.status_, 102);
    cr_assert_gt(all.first_.requests() + all.second_.requests(), 0);
    assert_closed(all.first_, bound);
    assert_closed(all.second_, bound);

    server_session one;
    one.first_.inject_faults(fault, 2);
    for (int i = 0; i < 8; ++i) {
        const std::string prompt = "p" + std::to_string(i);
        const caller_response good = one.complete_chat(prompt);
        cr_assert(good.complete_);
        cr_assert(good.text_ == expected_answer(prompt));
    }
}

} // namespace


Test(endless_response, status_line)
{
    assert_no_answer(engine_fault::endless_status_line, 128 * kibibyte);
}


// A header was limited only by the part of it that a read left incomplete.
Test(endless_response, header_fields)
{
    assert_no_answer(engine_fault::endless_fields, 128 * kibibyte);
}


// The first informational response was passed on as the answer.
Test(endless_response, informational_responses)
{
    assert_no_answer(engine_fault::endless_informational, 128 * kibibyte);
}


// The same for one that is followed by the answer.
Test(endless_response, informational_response_is_skipped)
{
    server_session s;
    s.inject_faults(engine_fault::informational_first, 1);
    const caller_response answer = s.complete_chat("p");
    cr_assert(answer.complete_);
    cr_assert(answer.text_ == expected_answer("p"));
}


// The buffer of a connection grew with a chunk header until the idle time-out.
Test(endless_response, chunk_header)
{
    assert_no_answer(engine_fault::endless_chunk_header, 128 * kibibyte);
}


// The same in the extension of a chunk.
Test(endless_response, chunk_extension)
{
    assert_no_answer(engine_fault::endless_chunk_extension, 128 * kibibyte);
}


// The same in the fields after the last chunk.
Test(endless_response, trailers)
{
    assert_no_answer(engine_fault::endless_trailers, 128 * kibibyte);
}


Test(endless_response, event)
{
    assert_no_answer(engine_fault::endless_event, mebibyte);
}


Test(endless_response, body)
{
    assert_no_answer(engine_fault::endless_body, 8 * mebibyte);
}


// What an engine sent after [DONE] was passed on without end.
Test(endless_response, events_after_the_last_one)
{
    server_session s;
    s.inject_faults(engine_fault::endless_after_done, 1);
    const caller_response answer = s.complete_chat("p");
    cr_assert(answer.complete_);
    cr_assert(answer.text_ == expected_answer("p"));
    assert_closed(s.first_, mebibyte);
    assert_closed(s.second_, mebibyte);
}


Test(endless_response, bytes_after_a_complete_response)
{
    server_session s;
    s.inject_faults(engine_fault::endless_after_response, 1);
    for (int i = 0; i < 4; ++i) {
        const std::string prompt = "p" + std::to_string(i);
        const caller_response answer = s.complete_chat(prompt);
        cr_assert(answer.complete_);
        cr_assert(answer.text_ == expected_answer(prompt));
    }
}

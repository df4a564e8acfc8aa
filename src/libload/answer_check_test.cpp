#include <monsoondock/load/answer_check.hpp>
#include <monsoondock/standin/answer_token.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::load;


static arrival streamed_arrival()
{
    arrival a;
    a.messages_ = {{"user", "p"}};
    a.max_tokens_ = 2;
    a.stream_ = true;
    return a;
}


static std::string event(const std::string& delta, const std::string& reason)
{
    return "data: {\"choices\":[{\"delta\":{" + delta +
           "},\"finish_reason\":" + reason + "}]}\n\n";
}


static std::string token(const std::string& prompt, std::size_t i)
{
    const auto text = monsoondock::standin::answer_token(prompt, i);
    return event("\"content\":\"" + text + "\"", "null");
}

static const std::string STOP = event("", "\"stop\"");
static const std::string DONE = "data: [DONE]\n\n";


Test(answer_check, accepts_only_the_complete_stream_of_its_request)
{
    const arrival a = streamed_arrival();
    const std::string tokens = token("p", 0) + token("p", 1);
    cr_assert(!check_completion(a, tokens + STOP + DONE));
    cr_assert(check_completion(a, tokens + STOP));
    cr_assert(check_completion(a, tokens + DONE));
    cr_assert(check_completion(a, token("p", 0) + STOP + DONE));
    cr_assert(check_completion(a, tokens + token("p", 2) + STOP + DONE));
    cr_assert(check_completion(a, token("p", 0) + token("q", 1) + STOP + DONE));
    cr_assert(check_completion(a, tokens + STOP + DONE + STOP + DONE));
    cr_assert(check_completion(a, "data: {\n"));
}


Test(answer_check, accepts_only_the_complete_answer_of_its_request)
{
    arrival a = streamed_arrival();
    a.stream_ = false;
    const auto body = [](const std::string& text) {
        return "{\"choices\":[{\"message\":{\"content\":\"" + text +
               "\"},\"finish_reason\":\"stop\"}]}";
    };
    cr_assert(
        !check_completion(a, body(monsoondock::standin::answer_text("p", 2))));
    cr_assert(
        check_completion(a, body(monsoondock::standin::answer_text("p", 1))));
    cr_assert(check_completion(a, "{}"));
}


Test(answer_check, accepts_only_a_single_run_of_its_call)
{
    arrival a;
    a.class_ = request_class::call;
    a.idempotency_key_ = "k";
    a.body_ = "b";
    cr_assert(!check_call(a, R"({"key":"k","run":1,"echo":"b"})"));
    cr_assert(check_call(a, R"({"key":"k","run":2,"echo":"b"})"));
    cr_assert(check_call(a, R"({"key":"j","run":1,"echo":"b"})"));
    cr_assert(check_call(a, R"({"key":"k","run":1,"echo":"c"})"));
}

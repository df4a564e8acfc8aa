#include "stream_text.hpp"

#include <monsoondock/load/answer_check.hpp>
#include <monsoondock/standin/answer_token.hpp>

#include <boost/json/parse.hpp>
#include <boost/system/system_error.hpp>

namespace monsoondock::load {

namespace {

std::string expected_text(const arrival& a)
{
    return standin::answer_text(a.messages_.back().content_, a.max_tokens_);
}


difference compare_text(std::string_view got, const std::string& expected)
{
    if (got == expected)
        return std::nullopt;
    if (expected.starts_with(got))
        return "answer too short";
    if (got.starts_with(expected))
        return "answer too long";
    return "answer of another request";
}


difference check_stream(const arrival& a, std::string_view body)
{
    const pvt::stream_text stream = pvt::read_stream(body);
    if (stream.malformed_)
        return "malformed stream";
    if (!stream.done_)
        return "stream without finish_reason stop and [DONE]";
    return compare_text(stream.text_, expected_text(a));
}


difference check_unstreamed(const arrival& a, const boost::json::value& body)
{
    const auto& choice = body.at("choices").at(0);
    if (choice.at("finish_reason").as_string() != "stop")
        return "finish_reason is not stop";
    const auto& text = choice.at("message").at("content").as_string();
    return compare_text({text.data(), text.size()}, expected_text(a));
}


difference check_call_answer(const arrival& a, const boost::json::value& body)
{
    if (body.at("key").as_string() != a.idempotency_key_)
        return "answer of another call";
    if (body.at("echo").as_string() != a.body_)
        return "answer to another request body";
    if (body.at("run").to_number<int>() != 1)
        return "run more than once";
    return std::nullopt;
}


/// Parses body as JSON and applies check; unexpected JSON is a mismatch.
template <class Check>
difference check_json(const arrival& a, std::string_view body, Check check)
{
    // Boost.JSON reports a missing key or a wrong type by exception.
    try {
        return check(a, boost::json::parse({body.data(), body.size()}));
    } catch (const std::exception&) {
        return "malformed answer";
    }
}

} // namespace

difference check_completion(const arrival& a, std::string_view body)
{
    return a.stream_ ? check_stream(a, body)
                     : check_json(a, body, check_unstreamed);
}


difference check_call(const arrival& a, std::string_view body)
{
    return check_json(a, body, check_call_answer);
}

} // namespace monsoondock::load

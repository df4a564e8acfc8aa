#include "prompt.hpp"

#include <monsoondock/standin/answer_token.hpp>

#include <boost/json/parse.hpp>
#include <boost/system/system_error.hpp>

namespace monsoondock::engine_standin {

namespace {

std::string content(const boost::json::value& message)
{
    return message.as_object().at("content").as_string().c_str();
}


void read_messages(prompt& p, const boost::json::array& messages)
{
    p.text_ = content(messages.at(messages.size() - 1));
    if (messages.size() == 1) {
        p.prefixes_.push_back(p.text_.substr(0, single_message_prefix_bytes));
        return;
    }
    std::string preceding;
    for (std::size_t i = 0; i + 1 < messages.size(); ++i)
        preceding += content(messages[i]) + '\n';
    p.prefixes_.push_back(preceding);
    if (messages.size() > 2)
        p.prefixes_.push_back(content(messages[0]) + '\n');
}


prompt read_prompt(const boost::json::object& body)
{
    prompt p;
    read_messages(p, body.at("messages").as_array());
    p.max_tokens_ = standin::DEFAULT_MAX_TOKENS;
    if (const auto* limit = body.if_contains("max_tokens"))
        p.max_tokens_ = limit->to_number<std::uint32_t>();
    if (const auto* stream = body.if_contains("stream"))
        p.stream_ = stream->as_bool();
    return p;
}

} // namespace

std::optional<prompt> parse_prompt(const standin::exchange& e)
{
    // Boost.JSON reports a missing key or a wrong type by exception.
    try {
        const auto body = boost::json::parse(e.request_.body());
        prompt p = read_prompt(body.as_object());
        const std::string resume = standin::header(e, "X-Resume-From");
        p.resume_from_ = standin::number_or(resume, 0);
        return p;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace monsoondock::engine_standin

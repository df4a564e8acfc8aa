#include "chat_request.hpp"

#include <monsoondock/base/stable_hash.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace monsoondock::traffic::pvt {

namespace json = boost::json;

namespace {

constexpr std::size_t max_prefix_bytes = 1024;


std::string read_prefix(const json::value& message)
{
    const json::object* fields = message.if_object();
    const json::value* content =
        fields == nullptr ? nullptr : fields->if_contains("content");
    if (content == nullptr || !content->is_string())
        return {};
    return std::string(
        std::string_view(content->get_string()).substr(0, max_prefix_bytes));
}


std::vector<crashes::prompt_part>
hash_shared_messages(const json::array& messages)
{
    std::vector<crashes::prompt_part> parts;
    const std::size_t shared =
        std::min(messages.size() - 1, crashes::max_prompt_parts);
    for (std::size_t i = 0; i < shared; ++i)
        parts.push_back(base::stable_hash(json::serialize(messages[i])));
    return parts;
}


base::problem invalid(const char* message)
{
    return {base::problem_code::invalid_argument, message, {}};
}

} // namespace

base::result<chat_request> parse_chat_request(std::string_view body)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return invalid("the body is not a JSON object");
    const json::object& object = parsed.get_object();
    const json::value* model = object.if_contains("model");
    if (model == nullptr || !model->is_string())
        return invalid("`model` is missing or not a string");
    const json::value* messages = object.if_contains("messages");
    if (messages == nullptr || !messages->is_array() ||
        messages->get_array().empty())
        return invalid("`messages` is missing or not a list with a message");
    chat_request request{
        base::deployment_id{std::string(model->get_string())},
        false,
        read_prefix(messages->get_array().front()),
        hash_shared_messages(messages->get_array())};
    if (const json::value* stream = object.if_contains("stream")) {
        if (!stream->is_bool())
            return invalid("`stream` is not true or false");
        request.stream_ = stream->get_bool();
    }
    return request;
}

} // namespace monsoondock::traffic::pvt

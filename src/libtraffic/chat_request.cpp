#include "chat_request.hpp"

#include <boost/json/parse.hpp>

namespace monsoondock::traffic::pvt {

namespace json = boost::json;

namespace {

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
        base::deployment_id{std::string(model->get_string())}, false};
    if (const json::value* stream = object.if_contains("stream")) {
        if (!stream->is_bool())
            return invalid("`stream` is not true or false");
        request.stream_ = stream->get_bool();
    }
    return request;
}

} // namespace monsoondock::traffic::pvt

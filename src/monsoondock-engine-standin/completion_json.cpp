#include "completion_json.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace monsoondock::engine_standin {

namespace {

std::string make_chunk(std::string_view id, boost::json::value choice)
{
    boost::json::object body;
    body["id"] = id;
    body["object"] = "chat.completion.chunk";
    body["choices"] = boost::json::array{std::move(choice)};
    return boost::json::serialize(body);
}


boost::json::object make_choice(
    boost::json::string_view key,
    boost::json::object content,
    boost::json::value finish_reason)
{
    boost::json::object choice;
    choice["index"] = 0;
    choice[key] = std::move(content);
    choice["finish_reason"] = std::move(finish_reason);
    return choice;
}

} // namespace

std::string make_token_chunk(std::string_view id, std::string_view token)
{
    return make_chunk(id, make_choice("delta", {{"content", token}}, nullptr));
}


std::string make_stop_chunk(std::string_view id)
{
    return make_chunk(id, make_choice("delta", {}, "stop"));
}


std::string make_completion(
    std::string_view id,
    std::string_view model,
    std::string_view text,
    std::size_t tokens)
{
    boost::json::object message{{"role", "assistant"}, {"content", text}};
    boost::json::object body;
    body["id"] = id;
    body["object"] = "chat.completion";
    body["model"] = model;
    body["choices"] =
        boost::json::array{make_choice("message", std::move(message), "stop")};
    body["usage"] = {{"completion_tokens", tokens}};
    return boost::json::serialize(body);
}

} // namespace monsoondock::engine_standin

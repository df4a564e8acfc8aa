#include "requests.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace monsoondock::load::pvt {

namespace http = boost::beast::http;

namespace {

constexpr unsigned HTTP_1_1 = 11;


request make(http::verb method, const std::string& target, const workspace& w)
{
    request q(method, target, HTTP_1_1);
    q.set(http::field::host, "monsoondock");
    q.set(http::field::authorization, "Bearer " + w.api_key_);
    return q;
}


std::string completion_body(const run_options& options, const arrival& a)
{
    boost::json::array messages;
    for (const chat_message& m : a.messages_)
        messages.push_back(
            boost::json::object{{"role", m.role_}, {"content", m.content_}});
    const boost::json::object body{
        {"model", options.model_},
        {"messages", std::move(messages)},
        {"max_tokens", a.max_tokens_},
        {"stream", a.stream_}};
    return boost::json::serialize(body);
}


void set_deadline(request& q, const run_options& options, const arrival& a)
{
    const auto deadline = deadline_of(options.deadlines_, a.class_);
    if (deadline.count() > 0)
        q.set("X-Deadline-Ms", std::to_string(deadline.count()));
}


request make_completion(const run_options& options, const arrival& a)
{
    request q = make(
        http::verb::post,
        "/v1/chat/completions",
        options.workspaces_[a.workspace_index_]);
    q.set(http::field::content_type, "application/json");
    q.set("X-Priority", to_string(a.class_));
    q.body() = completion_body(options, a);
    return q;
}


request make_call(const run_options& options, const arrival& a)
{
    request q = make(
        http::verb::post,
        "/services/" + options.service_ + options.service_path_,
        options.workspaces_[a.workspace_index_]);
    q.set("Idempotency-Key", a.idempotency_key_);
    q.body() = a.body_;
    return q;
}

} // namespace

request make_entry_request(const workspace& w)
{
    return make(http::verb::get, "/v1/entry-hosts", w);
}


request make_request(const run_options& options, const arrival& a)
{
    const bool call = a.class_ == request_class::call;
    request q = call ? make_call(options, a) : make_completion(options, a);
    set_deadline(q, options, a);
    return q;
}

} // namespace monsoondock::load::pvt

#include "refusal.hpp"

#include <boost/json/parse.hpp>

namespace monsoondock::load::pvt {

namespace {

std::string
text_of(const boost::json::object& body, boost::json::string_view key)
{
    const auto* value = body.if_contains(key);
    if (!value || !value->is_string())
        return {};
    return value->get_string().c_str();
}

} // namespace

refused read_refusal(const raw_answer& answer, base::duration total)
{
    refused r{answer.status_, "untyped", "", answer.retry_after_, total};
    boost::system::error_code error;
    const auto body = boost::json::parse(answer.body_, error);
    if (error || !body.is_object())
        return r;
    const std::string type = text_of(body.get_object(), "type");
    if (!type.empty())
        r.reason_ = type;
    r.execution_ = text_of(body.get_object(), "run");
    return r;
}

} // namespace monsoondock::load::pvt

#include "chat_request.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::traffic::pvt;

namespace {

chat_request parse(const std::string& messages)
{
    const auto parsed =
        parse_chat_request("{\"model\":\"m\",\"messages\":[" + messages + "]}");
    cr_assert(base::ok(parsed));
    return base::value(parsed);
}

} // namespace

// Guards against losing group after group to requests that have only a message
// in common.
Test(chat_request, shared_messages_have_the_same_hash_in_all_requests)
{
    const std::string manual = "{\"role\":\"system\",\"content\":\"manual\"}";
    const auto first = parse(manual + ",{\"role\":\"user\",\"content\":\"a\"}");
    const auto second =
        parse(" " + manual + " , {\"role\":\"user\",\"content\":\"b\"}");
    cr_assert_eq(first.parts_.size(), 1);
    cr_assert(first.parts_ == second.parts_);
}


Test(chat_request, the_last_message_belongs_to_the_request_alone)
{
    cr_assert(parse("{\"role\":\"user\",\"content\":\"a\"}").parts_.empty());
}

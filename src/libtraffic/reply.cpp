#include "reply.hpp"

namespace monsoondock::traffic::pvt {

std::string outcome_name(const reply& r)
{
    if (const auto* refused = std::get_if<refusal>(&r))
        return refused->type_;
    if (std::holds_alternative<broken_stream>(r))
        return "broken_stream";
    if (std::holds_alternative<caller_disconnected>(r))
        return "caller_gone";
    return "served";
}

} // namespace monsoondock::traffic::pvt

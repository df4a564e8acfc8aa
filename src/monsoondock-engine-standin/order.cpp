#include "order.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <boost/system/system_error.hpp>

namespace monsoondock::engine_standin {

namespace {

order read_order(const boost::json::object& body)
{
    order o;
    o.group_ = body.at("group").as_string().c_str();
    o.generation_ = body.at("generation").to_number<std::uint64_t>();
    if (body.at("order").as_string() == "unload") {
        o.kind_ = order_kind::unload;
        return o;
    }
    o.deployment_ = body.at("deployment").as_string().c_str();
    o.rank_ = body.at("rank").to_number<std::uint64_t>();
    o.hosts_ =
        boost::json::value_to<std::vector<std::string>>(body.at("hosts"));
    return o;
}

} // namespace

std::optional<order> parse_order(const std::string& json)
{
    // Boost.JSON reports a missing key or a wrong type by exception.
    try {
        return read_order(boost::json::parse(json).as_object());
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace monsoondock::engine_standin

#include "engine_messages.hpp"

#include <boost/json.hpp>

namespace monsoondock::daemon {

namespace json = boost::json;

namespace {

groups::engine_phase read_phase(const json::value& from)
{
    const auto& name = from.as_string();
    if (name == "ready")
        return groups::engine_phase::ready;
    if (name == "loading")
        return groups::engine_phase::loading;
    if (name == "idle")
        return groups::engine_phase::idle;
    throw std::invalid_argument("unknown phase");
}


engine_status read_status(const json::object& from)
{
    engine_status status;
    groups::host_report& report = status.report_;
    report.group_.value_ = from.at("group").as_string();
    report.generation_.value_ =
        from.at("generation").to_number<std::uint64_t>();
    report.phase_ = read_phase(from.at("phase"));
    report.running_ = from.at("running").to_number<std::uint32_t>();
    status.queued_ = from.at("queued").to_number<std::uint32_t>();
    if (const json::value* limit = from.if_contains("request_limit"))
        status.limit_ = limit->to_number<double>();
    return status;
}

} // namespace

base::result<engine_status> parse_engine_status(std::string_view text)
{
    // Boost.JSON reports a missing member or a wrong type by an exception.
    try {
        return read_status(json::parse(text).as_object());
    } catch (const std::exception& failure) {
        return base::problem{
            base::problem_code::corrupt,
            std::string("invalid engine status: ").append(failure.what()),
            {}};
    }
}


std::string encode_order(
    const groups::host_order& order, const std::vector<std::string>& addresses)
{
    json::object body{
        {"group", order.group_.value_},
        {"generation", order.generation_.value_}};
    if (order.kind_ == groups::order_kind::unload) {
        body["order"] = "unload";
        return json::serialize(body);
    }
    body["order"] = "load";
    body["deployment"] = order.deployment_.value_;
    body["rank"] = order.rank_;
    body["hosts"] = json::value_from(addresses);
    return json::serialize(body);
}

} // namespace monsoondock::daemon

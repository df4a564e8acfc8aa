#include "host_record.hpp"

#include <boost/json/parse.hpp>

namespace monsoondock::daemon {

namespace json = boost::json;

namespace {

std::string string_or_empty(const json::object& source, const char* name)
{
    const json::value* found = source.if_contains(name);
    return found == nullptr ? std::string() : std::string(found->as_string());
}


host_record read_record(const base::host_id& host, const json::object& source)
{
    host_record record;
    record.host_ = host;
    record.address_ = std::string(source.at("address").as_string());
    record.data_centre_.value_ = source.at("data_centre").as_string();
    record.fabric_domain_.value_ = string_or_empty(source, "fabric_domain");
    const bool service = source.at("kind").as_string() == "service";
    record.kind_ = service ? host_kind::service : host_kind::model;
    record.deployment_.value_ = string_or_empty(source, "deployment");
    record.leaving_ = source.at("state").as_string() == "leaving";
    if (const json::value* n = source.if_contains("accelerators"))
        record.accelerators_ = n->to_number<std::uint32_t>();
    if (const json::value* checks = source.if_contains("checks_generation"))
        record.checks_generation_ = checks->as_bool();
    return record;
}

} // namespace

base::result<host_record>
parse_host_record(const base::host_id& host, std::string_view json_text)
{
    // Boost.JSON reports a missing member or a wrong type by an exception.
    try {
        return read_record(host, json::parse(json_text).as_object());
    } catch (const std::exception& failure) {
        return base::problem{
            base::problem_code::corrupt,
            "invalid host record hosts/" + host.value_ + ": " + failure.what(),
            {}};
    }
}

} // namespace monsoondock::daemon

#include "daemon_record.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace monsoondock::daemon {

namespace json = boost::json;

namespace {

std::string string_at(const json::object& source, const char* name)
{
    return std::string(source.at(name).as_string());
}


daemon_record read_record(const json::object& source)
{
    daemon_record record;
    record.caller_address_ = string_at(source, "caller_address");
    record.peer_address_ = string_at(source, "peer_address");
    record.data_centre_.value_ = string_at(source, "data_centre");
    record.region_.value_ = string_at(source, "region");
    record.incarnation_.value_ =
        source.at("incarnation").to_number<std::uint64_t>();
    return record;
}

} // namespace

std::string to_json(const daemon_record& record)
{
    const json::object object{
        {"caller_address", record.caller_address_},
        {"peer_address", record.peer_address_},
        {"data_centre", record.data_centre_.value_},
        {"region", record.region_.value_},
        {"incarnation", record.incarnation_.value_}};
    return json::serialize(object);
}


base::result<daemon_record> parse_daemon_record(std::string_view json_text)
{
    // Boost.JSON reports a missing member or a wrong type by an exception.
    try {
        return read_record(json::parse(json_text).as_object());
    } catch (const std::exception& failure) {
        return base::problem{
            base::problem_code::corrupt,
            std::string("invalid daemon record: ") + failure.what(),
            {}};
    }
}

} // namespace monsoondock::daemon

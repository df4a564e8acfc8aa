#include "store_json.hpp"

#include <monsoondock/platform/parse_store_body.hpp>

#include <boost/json/serialize.hpp>

namespace monsoondock::platform::pvt {

namespace json = boost::json;

namespace {

constexpr std::string_view value_name = "value";


base::problem corrupt(const char* what)
{
    return {
        base::problem_code::corrupt,
        std::string("the platform's response contains no valid ") + what,
        "check that the platform address is that of the object API"};
}


version read_version(const json::value& value)
{
    return version{value.to_number<std::uint64_t>()};
}


object read_object(const json::object& source)
{
    object result;
    result.key_ = std::string(source.at("key").as_string());
    result.version_ = read_version(source.at("version"));
    if (const json::value* value = source.if_contains(value_name))
        result.value_ = json::serialize(*value);
    return result;
}


change read_change(const json::object& source)
{
    change result{read_object(source), false};
    if (const json::value* deleted = source.if_contains("deleted"))
        result.deleted_ = deleted->as_bool();
    return result;
}


// Boost.JSON throws on a missing key or a wrong type.
template <class Value, class Reader>
base::result<Value> read(std::string_view body, const char* what, Reader reader)
{
    try {
        return reader(parse_store_body(body, value_name).as_object());
    } catch (const std::exception&) {
        return corrupt(what);
    }
}

} // namespace

base::result<object> parse_object(std::string_view body)
{
    return read<object>(body, "object", read_object);
}


base::result<listing> parse_listing(std::string_view body)
{
    return read<listing>(body, "list", [](const json::object& source) {
        listing result{read_version(source.at("version")), {}};
        result.objects_ =
            read_elements<object>(source.at("objects").as_array(), read_object);
        return result;
    });
}


base::result<change_batch> parse_changes(std::string_view body)
{
    return read<change_batch>(body, "changes", [](const json::object& source) {
        change_batch result{read_version(source.at("next")), {}};
        result.changes_ =
            read_elements<change>(source.at("changes").as_array(), read_change);
        return result;
    });
}


base::result<version> parse_version(std::string_view body)
{
    return read<version>(body, "version", [](const json::object& source) {
        return read_version(source.at("version"));
    });
}

} // namespace monsoondock::platform::pvt

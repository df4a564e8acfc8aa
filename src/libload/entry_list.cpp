#include <monsoondock/load/entry_list.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <boost/system/system_error.hpp>

namespace monsoondock::load {

std::optional<entry_list>
parse_entry_list(std::string_view json, base::time_point now)
{
    // Boost.JSON reports a missing key or a wrong type by exception.
    try {
        const auto body = boost::json::parse({json.data(), json.size()});
        const std::chrono::milliseconds ttl(
            body.at("ttl_ms").to_number<std::uint32_t>());
        return entry_list{
            boost::json::value_to<std::vector<std::string>>(body.at("hosts")),
            now + ttl};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace monsoondock::load

#include "convert.hpp"

#include <monsoondock/settings/duration_text.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <string_view>

namespace monsoondock::settings::pvt {

namespace {

constexpr std::size_t MAX_NAME_CHARS = 63;
constexpr std::size_t SHA256_HEX_CHARS = 64;


template <class Value>
refusal wrong_type(const raw_value& raw, const rule<Value>& r)
{
    return {"is " + type_name(raw), allowed(r)};
}


template <class Value>
refusal out_of_range(const raw_value& raw, const rule<Value>& r)
{
    return {to_toml_text(raw) + " is out of range", allowed(r)};
}


// Programs that generate a settings file may write 5 as 5.0.
std::optional<std::int64_t> to_integer(const raw_value& raw)
{
    if (const auto* whole = std::get_if<std::int64_t>(&raw))
        return *whole;
    constexpr double exact_limit = 9007199254740992.0;
    const auto* real = std::get_if<double>(&raw);
    if (real == nullptr || std::trunc(*real) != *real ||
        std::abs(*real) > exact_limit)
        return std::nullopt;
    return static_cast<std::int64_t>(*real);
}


bool is_hash(const std::string& text)
{
    if (text.size() != SHA256_HEX_CHARS)
        return false;
    return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}


bool is_name_char(char c)
{
    const bool letter = c >= 'a' && c <= 'z';
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '.' || c == '_';
}

} // namespace

bool is_name(const std::string& text)
{
    if (text.empty() || text.size() > MAX_NAME_CHARS)
        return false;
    if (std::string_view("-._").find(text[0]) != std::string_view::npos)
        return false;
    return std::all_of(text.begin(), text.end(), is_name_char);
}


std::string allowed_names()
{
    return "1 to 63 lower-case letters, digits, '-', '.' or '_', beginning "
           "with a letter or digit";
}


conversion<bool> convert(const raw_value& raw, const rule<bool>& r)
{
    if (const auto* flag = std::get_if<bool>(&raw))
        return *flag;
    return wrong_type(raw, r);
}


conversion<std::uint64_t>
convert(const raw_value& raw, const rule<std::uint64_t>& r)
{
    const auto number = to_integer(raw);
    if (!number)
        return wrong_type(raw, r);
    const auto count = static_cast<std::uint64_t>(*number);
    if (*number < 0 || count < r.min_ || count > r.max_)
        return out_of_range(raw, r);
    return count;
}


conversion<double> convert(const raw_value& raw, const rule<double>& r)
{
    double number = 0;
    if (const auto* whole = std::get_if<std::int64_t>(&raw))
        number = static_cast<double>(*whole);
    else if (const auto* real = std::get_if<double>(&raw))
        number = *real;
    else
        return wrong_type(raw, r);
    if (!std::isfinite(number) || number < r.min_ || number > r.max_)
        return out_of_range(raw, r);
    return number;
}


conversion<std::chrono::milliseconds>
convert(const raw_value& raw, const rule<std::chrono::milliseconds>& r)
{
    const auto* text = std::get_if<std::string>(&raw);
    if (text == nullptr)
        return wrong_type(raw, r);
    const auto length = parse_duration(*text);
    if (!length)
        return refusal{
            to_toml_text(raw) + " is not a number with a unit of time",
            allowed(r)};
    if (*length < r.min_ || *length > r.max_)
        return out_of_range(raw, r);
    return *length;
}


conversion<std::filesystem::path>
convert(const raw_value& raw, const rule<std::filesystem::path>& r)
{
    const auto* text = std::get_if<std::string>(&raw);
    if (text == nullptr)
        return wrong_type(raw, r);
    if (text->empty())
        return refusal{"is empty", allowed(r)};
    return std::filesystem::path(*text);
}


conversion<socket_address>
convert(const raw_value& raw, const rule<socket_address>& r)
{
    const auto* text = std::get_if<std::string>(&raw);
    if (text == nullptr)
        return wrong_type(raw, r);
    if (auto address = parse_socket_address(*text))
        return *address;
    return refusal{
        to_toml_text(raw) + " is not an IP address and a port", allowed(r)};
}


conversion<std::vector<socket_address>>
convert(const raw_value& raw, const rule<std::vector<socket_address>>& r)
{
    const auto* items = std::get_if<std::vector<std::string>>(&raw);
    if (items == nullptr)
        return wrong_type(raw, r);
    std::vector<socket_address> addresses;
    for (const std::string& item : *items) {
        auto address = convert(raw_value(item), rule<socket_address>{});
        if (auto* refused = std::get_if<refusal>(&address))
            return std::move(*refused);
        const auto& valid = std::get<socket_address>(address);
        if (std::find(addresses.begin(), addresses.end(), valid) !=
            addresses.end())
            return refusal{"\"" + item + "\" appears twice", allowed(r)};
        addresses.push_back(valid);
    }
    if (addresses.size() < r.min_ || addresses.size() > r.max_)
        return refusal{
            "has " + std::to_string(addresses.size()) + " addresses",
            allowed(r)};
    return addresses;
}


conversion<deployment_kind>
convert(const raw_value& raw, const rule<deployment_kind>& r)
{
    const auto* text = std::get_if<std::string>(&raw);
    if (text == nullptr)
        return wrong_type(raw, r);
    for (const auto kind : {deployment_kind::model, deployment_kind::service}) {
        if (*text == to_string(kind))
            return kind;
    }
    return refusal{to_toml_text(raw) + " is not a kind", allowed(r)};
}


conversion<admission_rule>
convert(const raw_value& raw, const rule<admission_rule>& r)
{
    const auto* text = std::get_if<std::string>(&raw);
    if (text == nullptr)
        return wrong_type(raw, r);
    for (const auto value : {admission_rule::queue, admission_rule::latency}) {
        if (*text == to_string(value))
            return value;
    }
    return refusal{to_toml_text(raw) + " is not a rule", allowed(r)};
}


conversion<std::vector<api_key_hash>>
convert(const raw_value& raw, const rule<std::vector<api_key_hash>>& r)
{
    const auto* items = std::get_if<std::vector<std::string>>(&raw);
    if (items == nullptr)
        return wrong_type(raw, r);
    std::vector<api_key_hash> hashes;
    for (const std::string& item : *items) {
        if (!is_hash(item))
            return refusal{"\"" + item + "\" is not a hash", allowed(r)};
        const api_key_hash hash{item};
        if (std::find(hashes.begin(), hashes.end(), hash) != hashes.end())
            return refusal{"\"" + item + "\" appears twice", allowed(r)};
        hashes.push_back(hash);
    }
    return hashes;
}


conversion<std::string> convert_name(const raw_value& raw)
{
    const auto* text = std::get_if<std::string>(&raw);
    if (text == nullptr)
        return refusal{"is " + type_name(raw), allowed_names()};
    if (!is_name(*text))
        return refusal{to_toml_text(raw) + " is not a name", allowed_names()};
    return *text;
}


std::string allowed(const rule<bool>& /*r*/)
{
    return "true or false";
}


std::string allowed(const rule<std::uint64_t>& r)
{
    return "an integer from " + std::to_string(r.min_) + " to " +
           std::to_string(r.max_);
}


std::string allowed(const rule<double>& r)
{
    return "a number from " + to_toml_text(r.min_) + " to " +
           to_toml_text(r.max_);
}


std::string allowed(const rule<std::chrono::milliseconds>& r)
{
    return "a string with unit ms, s, min, h or d from \"" +
           duration_text(r.min_) + "\" to \"" + duration_text(r.max_) + "\"";
}


std::string allowed(const rule<std::filesystem::path>& /*r*/)
{
    return "a string with the path of a file";
}


std::string allowed(const rule<socket_address>& /*r*/)
{
    return "a string \"ip:port\" with an IP address, not a host name, and a "
           "port from 1 to 65535";
}


std::string allowed(const rule<std::vector<socket_address>>& r)
{
    return "a list of " + std::to_string(r.min_) + " to " +
           std::to_string(r.max_) + " different strings \"ip:port\"";
}


std::string allowed(const rule<deployment_kind>& /*r*/)
{
    return "\"model\" or \"service\"";
}


std::string allowed(const rule<admission_rule>& /*r*/)
{
    return "\"queue\" or \"latency\"";
}


std::string allowed(const rule<std::vector<api_key_hash>>& /*r*/)
{
    return "a list of different SHA-256 hashes, each a string of 64 lower-case "
           "hexadecimal digits";
}


raw_value to_raw(bool value)
{
    return value;
}


raw_value to_raw(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}


raw_value to_raw(double value)
{
    return value;
}


raw_value to_raw(std::chrono::milliseconds value)
{
    return duration_text(value);
}


raw_value to_raw(deployment_kind value)
{
    return std::string(to_string(value));
}


raw_value to_raw(const std::vector<api_key_hash>& value)
{
    std::vector<std::string> items;
    items.reserve(value.size());
    for (const api_key_hash& hash : value)
        items.push_back(hash.value_);
    return items;
}

} // namespace monsoondock::settings::pvt

#pragma once

#include "raw_value.hpp"
#include "rule.hpp"

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/settings/admission_rule.hpp>
#include <monsoondock/settings/api_key_hash.hpp>
#include <monsoondock/settings/deployment_kind.hpp>

#include <filesystem>
#include <string>
#include <variant>

namespace monsoondock::settings::pvt {

/// Why a raw value is refused.
struct refusal
{
    std::string wrong_;
    std::string allowed_;
};

/// Either the typed value or the reason for its refusal.
template <class Value>
using conversion = std::variant<Value, refusal>;


/// Returns true for 1 to 63 lower-case letters, digits, dots, dashes and
/// underscores that begin with a letter or a digit.
bool is_name(const std::string& text);


/// Describes the names that is_name allows.
std::string allowed_names();


/// Each overload checks the type, the unit and the range of raw against r.
conversion<bool> convert(const raw_value& raw, const rule<bool>& r);
conversion<std::uint64_t>
convert(const raw_value& raw, const rule<std::uint64_t>& r);
conversion<double> convert(const raw_value& raw, const rule<double>& r);
conversion<std::chrono::milliseconds>
convert(const raw_value& raw, const rule<std::chrono::milliseconds>& r);
conversion<std::filesystem::path>
convert(const raw_value& raw, const rule<std::filesystem::path>& r);
conversion<socket_address>
convert(const raw_value& raw, const rule<socket_address>& r);
conversion<std::vector<socket_address>>
convert(const raw_value& raw, const rule<std::vector<socket_address>>& r);
conversion<deployment_kind>
convert(const raw_value& raw, const rule<deployment_kind>& r);
conversion<admission_rule>
convert(const raw_value& raw, const rule<admission_rule>& r);
conversion<std::vector<api_key_hash>>
convert(const raw_value& raw, const rule<std::vector<api_key_hash>>& r);


/// Checks that raw is a name.
conversion<std::string> convert_name(const raw_value& raw);


/// Checks that raw is a name and converts it to a typed identifier.
template <class Tag>
conversion<base::identifier<Tag>>
convert(const raw_value& raw, const rule<base::identifier<Tag>>& /*r*/)
{
    conversion<std::string> name = convert_name(raw);
    if (auto* refused = std::get_if<refusal>(&name))
        return std::move(*refused);
    return base::identifier<Tag>{std::get<std::string>(std::move(name))};
}


/// Each overload describes the values that a rule allows.
std::string allowed(const rule<bool>& r);
std::string allowed(const rule<std::uint64_t>& r);
std::string allowed(const rule<double>& r);
std::string allowed(const rule<std::chrono::milliseconds>& r);
std::string allowed(const rule<std::filesystem::path>& r);
std::string allowed(const rule<socket_address>& r);
std::string allowed(const rule<std::vector<socket_address>>& r);
std::string allowed(const rule<deployment_kind>& r);
std::string allowed(const rule<admission_rule>& r);
std::string allowed(const rule<std::vector<api_key_hash>>& r);


/// Each overload converts a valid value to its raw form.
raw_value to_raw(bool value);
raw_value to_raw(std::uint64_t value);
raw_value to_raw(double value);
raw_value to_raw(std::chrono::milliseconds value);
raw_value to_raw(deployment_kind value);
raw_value to_raw(const std::vector<api_key_hash>& value);


/// Describes the allowed identifiers.
template <class Tag>
std::string allowed(const rule<base::identifier<Tag>>& /*r*/)
{
    return allowed_names();
}

} // namespace monsoondock::settings::pvt

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace monsoondock::settings::pvt {

/// Value of a type that no setting has; type_ names it for messages.
struct unsupported_value
{
    std::string type_;

    friend bool
    operator==(const unsupported_value&, const unsupported_value&) = default;
};

/// Common representation of values from TOML, JSON and the command line before
/// their type and range are checked. Durations, addresses and names are
/// strings.
using raw_value = std::variant<
    bool,
    std::int64_t,
    double,
    std::string,
    std::vector<std::string>,
    unsupported_value>;


/// Returns the name of the value's type for messages.
std::string type_name(const raw_value& value);


/// Returns the value in TOML notation.
std::string to_toml_text(const raw_value& value);

} // namespace monsoondock::settings::pvt

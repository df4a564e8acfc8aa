#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace monsoondock::settings::pvt {

/// Value of a type that settings do not have, by its name.
struct other_value
{
    std::string type_;

    friend bool operator==(const other_value&, const other_value&) = default;
};

/// Value as TOML, JSON and the command line have in common, before its type
/// and range are checked. Lengths of time, addresses and names are strings.
using raw_value = std::variant<
    bool,
    std::int64_t,
    double,
    std::string,
    std::vector<std::string>,
    other_value>;


/// Returns the name of the value's type for messages.
std::string type_name(const raw_value& value);


/// Returns the value as TOML writes it.
std::string to_toml_text(const raw_value& value);

} // namespace monsoondock::settings::pvt

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace monsoondock::settings {

/// One fault in a configuration file or in a settings tree.
struct finding
{
    /// File that was read; empty when the value came from elsewhere.
    std::string file_;
    /// Line in the file, from 1; 0 when the fault has no line.
    std::uint32_t line_ = 0;
    /// Full name of the key, such as `timeouts.connect`; may be empty.
    std::string key_;
    /// What is wrong.
    std::string wrong_;
    /// What is allowed instead.
    std::string allowed_;

    friend bool operator==(const finding&, const finding&) = default;
};

/// Every fault of one input, in the order of the lines.
using findings = std::vector<finding>;

/// Either a valid value or all the faults that prevented it.
template <class Value>
using checked = std::variant<Value, findings>;


/// Returns "file:line: key: what is wrong; allowed: what is allowed" on one
/// line.
std::string to_string(const finding& f);

} // namespace monsoondock::settings

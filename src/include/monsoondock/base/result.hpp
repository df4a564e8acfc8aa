#pragma once

#include <monsoondock/base/problem.hpp>

#include <utility>
#include <variant>

namespace monsoondock::base {

/// Result of an operation: its value, or the problem that made it fail.
template <class Value>
using result = std::variant<Value, problem>;

/// Value type of operations that return no data on success.
using done = std::monostate;


/// Returns true when r holds a value.
template <class Value>
bool ok(const result<Value>& r) noexcept
{
    return r.index() == 0;
}


/// Returns the value of r; r must hold one.
template <class Value>
Value& value(result<Value>& r)
{
    return std::get<0>(r);
}


/// Returns the value of r; r must hold one.
template <class Value>
const Value& value(const result<Value>& r)
{
    return std::get<0>(r);
}


/// Returns the value of r by move; r must hold one.
template <class Value>
Value value(result<Value>&& r)
{
    return std::get<0>(std::move(r));
}


/// Returns the problem of r; r must hold one.
template <class Value>
const problem& error(const result<Value>& r)
{
    return std::get<1>(r);
}

} // namespace monsoondock::base

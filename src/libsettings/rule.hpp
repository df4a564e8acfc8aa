#pragma once

#include <monsoondock/settings/socket_address.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::settings::pvt {

/// Constraint on values of type Value; without a specialisation, none.
template <class Value>
struct rule
{};


/// Inclusive range of integers.
template <>
struct rule<std::uint64_t>
{
    std::uint64_t min_ = 0;
    std::uint64_t max_ = 0;
};


/// Inclusive range of numbers.
template <>
struct rule<double>
{
    double min_ = 0;
    double max_ = 0;
};


/// Inclusive range of durations.
template <>
struct rule<std::chrono::milliseconds>
{
    std::chrono::milliseconds min_{};
    std::chrono::milliseconds max_{};
};


/// Inclusive range of the number of addresses in a list.
template <>
struct rule<std::vector<socket_address>>
{
    std::size_t min_ = 1;
    std::size_t max_ = 1;
};

} // namespace monsoondock::settings::pvt

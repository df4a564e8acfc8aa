#pragma once

#include <monsoondock/settings/socket_address.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::settings::pvt {

/// What values of type Value are allowed beyond their type.
template <class Value>
struct rule
{};


/// Closed range of whole numbers.
template <>
struct rule<std::uint64_t>
{
    std::uint64_t min_ = 0;
    std::uint64_t max_ = 0;
};


/// Closed range of numbers.
template <>
struct rule<double>
{
    double min_ = 0;
    double max_ = 0;
};


/// Closed range of lengths of time.
template <>
struct rule<std::chrono::milliseconds>
{
    std::chrono::milliseconds min_{};
    std::chrono::milliseconds max_{};
};


/// Number of addresses in a list.
template <>
struct rule<std::vector<socket_address>>
{
    std::size_t min_ = 1;
    std::size_t max_ = 1;
};

} // namespace monsoondock::settings::pvt

#pragma once

#include <monsoondock/load/request_class.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::load {

/// Arrival rate and request mix at one point of a run.
struct demand
{
    /// Arrivals as a multiple of the base rate.
    double rate_ = 1.0;
    /// Shares of the classes; they add up to 1.
    double interactive_ = 1.0;
    double report_ = 0.0;
    double call_ = 0.0;
};


/// Demand at a position of the run, from 0 (start) to 1 (end).
struct demand_point
{
    double position_ = 0.0;
    demand demand_;
};


/// Demand over the course of a run.
struct profile
{
    std::string name_;
    /// Exponent of the Zipf distribution of requests over workspaces.
    double workspace_skew_ = 0.0;
    /// Exponent of the Zipf distribution of sessions over prompt prefixes.
    double prefix_skew_ = 0.0;
    /// In order of position; between two points demand changes linearly.
    std::vector<demand_point> points_;
};


/// Returns the profile of that name: steady, skewed, sabarmati-day-shift,
/// resinas-market-day or overload-2x.
std::optional<profile> find_profile(std::string_view name);


/// Returns the names of all profiles, separated by a comma and a space.
std::string profile_names();


/// Returns the demand at a position of the run.
demand demand_at(const profile& p, double position);


/// Returns the highest rate factor of the run.
double peak_rate(const profile& p);

} // namespace monsoondock::load

#pragma once

#include <monsoondock/settings/level.hpp>

#include <initializer_list>

namespace monsoondock::settings::pvt {

/// Levels that may set a key.
class level_set
{
public:
    constexpr level_set(std::initializer_list<level> levels)
    {
        for (const level l : levels)
            bits_ |= bit(l);
    }


    /// Returns true when the level belongs to the set.
    constexpr bool contains(level l) const
    {
        return (bits_ & bit(l)) != 0;
    }

private:
    static constexpr unsigned bit(level l)
    {
        return 1U << static_cast<unsigned>(l);
    }

    unsigned bits_ = 0;
};

/// Levels from the organisation down to the replica groups of a data centre.
inline constexpr level_set PLACES_AND_DEPLOYMENTS{
    level::organisation,
    level::region,
    level::data_centre,
    level::deployment,
    level::host_groups};

/// Levels that may set the values of a priority class.
inline constexpr level_set CLASS_LEVELS{
    level::organisation,
    level::region,
    level::data_centre,
    level::deployment,
    level::workspace};

/// Levels whose values are the same in all data centres.
inline constexpr level_set DEPLOYMENT_EVERYWHERE{
    level::organisation, level::deployment};

inline constexpr level_set WORKSPACE_EVERYWHERE{
    level::organisation, level::workspace};

inline constexpr level_set DEPLOYMENT_ONLY{level::deployment};

inline constexpr level_set WORKSPACE_ONLY{level::workspace};

inline constexpr level_set ORGANISATION_ONLY{level::organisation};

} // namespace monsoondock::settings::pvt

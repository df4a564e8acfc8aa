#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/generation.hpp>
#include <monsoondock/base/identifier.hpp>

#include <cstdint>
#include <optional>

namespace monsoondock::groups {

/// State that an engine reports of itself.
enum class engine_phase
{
    idle,
    loading,
    ready
};


/// Answer of an engine to a status probe.
struct host_report
{
    /// Group that the engine has loaded or is loading; empty when idle.
    base::group_id group_;
    base::generation generation_;
    engine_phase phase_ = engine_phase::idle;
    /// Requests that run on the engine.
    std::uint32_t running_ = 0;
    /// Time at which the probe was sent; the report is not older than this.
    base::time_point sent_at_;
    /// Time at which the answer arrived; the report is not newer than this.
    base::time_point received_at_;
};


/// Returns true when the engine has loaded, or is loading, this group and
/// generation.
bool holds(
    const host_report& report,
    const base::group_id& group,
    base::generation generation);


/// Results of one daemon's probes of a host.
struct host_contact
{
    std::optional<host_report> report_;
    /// When the latest probe that got no valid answer was sent. Empty when a
    /// later probe was answered.
    std::optional<base::time_point> failed_probe_at_;
};

} // namespace monsoondock::groups

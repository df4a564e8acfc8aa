#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/generation.hpp>
#include <monsoondock/base/identifier.hpp>

#include <cstdint>
#include <optional>

namespace monsoondock::groups {

/// State of an engine as it reports itself.
enum class engine_phase
{
    idle,
    loading,
    ready
};


/// One answer of an engine to a status probe.
struct host_report
{
    /// Group that the engine holds; empty when idle.
    base::group_id group_;
    base::generation generation_;
    engine_phase phase_ = engine_phase::idle;
    /// Requests that run on the engine.
    std::uint32_t running_ = 0;
    /// Time at which the probe left; the report is not older than this.
    base::time_point sent_at_;
    /// Time at which the answer arrived; the report is not newer than this.
    base::time_point received_at_;
};


/// Returns true when the engine holds this group and generation, loaded or
/// still loading.
bool holds(
    const host_report& report,
    const base::group_id& group,
    base::generation generation);


/// What one daemon knows of a host from its own probes.
struct host_contact
{
    std::optional<host_report> report_;
    /// When the latest probe without an answer left, if later than the report.
    std::optional<base::time_point> failed_;
};

} // namespace monsoondock::groups

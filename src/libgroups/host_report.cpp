#include <monsoondock/groups/host_report.hpp>

namespace monsoondock::groups {

bool holds(
    const host_report& report,
    const base::group_id& group,
    base::generation generation)
{
    if (report.phase_ == engine_phase::idle)
        return false;
    return report.group_ == group && report.generation_ == generation;
}

} // namespace monsoondock::groups

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/crashes/part_quarantine.hpp>

namespace monsoondock::crashes {

void log_quarantine(const part_quarantine& quarantine)
{
    base::event_line("part_quarantined", base::severity::warning)
        .field("parts", to_text(quarantine.parts_))
        .field("time", quarantine.remaining_)
        .field("trials", quarantine.on_trial_ ? "yes" : "no");
}

} // namespace monsoondock::crashes

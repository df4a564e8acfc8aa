#include <monsoondock/quarantine/quarantine_command.hpp>

namespace monsoondock::quarantine {

unsigned http_status(quarantine_refusal reason) noexcept
{
    return reason == quarantine_refusal::quarantined ? 422 : 503;
}


const char* to_string(quarantine_refusal reason) noexcept
{
    switch (reason) {
    case quarantine_refusal::quarantined:
        return "request_quarantined";
    case quarantine_refusal::part_quarantined:
        return "prompt_part_quarantined";
    case quarantine_refusal::on_trial_elsewhere:
        return "suspect_on_trial";
    case quarantine_refusal::no_trial_group:
        return "no_group_for_suspect";
    case quarantine_refusal::store_unavailable:
        return "store_unavailable";
    case quarantine_refusal::confined_groups_lost:
        return "groups_lost";
    }
    return "internal";
}


const char* describe(quarantine_refusal reason) noexcept
{
    switch (reason) {
    case quarantine_refusal::quarantined:
        return "This request was in progress on two groups when they were "
               "lost and is not sent again. Change the request, or ask an "
               "operator to lift the quarantine.";
    case quarantine_refusal::part_quarantined:
        return "Groups were lost under several requests that have a part of "
               "their messages in common with this one. Change the request, "
               "or retry later.";
    case quarantine_refusal::on_trial_elsewhere:
        return "This request was in progress on a group that was lost; "
               "another copy of it is running. Retry later.";
    case quarantine_refusal::no_trial_group:
        return "This request was in progress on a group that was lost and "
               "needs a group on which no other suspect request runs. Retry "
               "later.";
    case quarantine_refusal::store_unavailable:
        return "This request was in progress on a group that was lost and "
               "can't be sent again until the store answers. Retry "
               "later.";
    case quarantine_refusal::confined_groups_lost:
        return "The groups for this request were lost recently. Retry later.";
    }
    return "";
}

} // namespace monsoondock::quarantine

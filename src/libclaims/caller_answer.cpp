#include <monsoondock/claims/caller_answer.hpp>

namespace monsoondock::claims {

unsigned http_status(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::store_unavailable:
    case refusal_reason::not_dispatched:
        return 503;
    case refusal_reason::in_progress:
        return 409;
    case refusal_reason::different_request:
        return 422;
    case refusal_reason::outcome_unknown:
    case refusal_reason::record_unreadable:
        return 502;
    }
    return 500;
}


const char* to_string(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::store_unavailable:
        return "store_unavailable";
    case refusal_reason::in_progress:
        return "call_in_progress";
    case refusal_reason::outcome_unknown:
        return "outcome_unknown";
    case refusal_reason::different_request:
        return "key_used_for_another_request";
    case refusal_reason::not_dispatched:
        return "not_dispatched";
    case refusal_reason::record_unreadable:
        return "claim_unreadable";
    }
    return "internal";
}


std::string describe(const refusal& r)
{
    switch (r.reason_) {
    case refusal_reason::store_unavailable:
        return "This attempt was not sent because the claim could not be "
               "confirmed. Earlier attempts with this key may have run; retry "
               "with the same key.";
    case refusal_reason::in_progress:
        return "An attempt with this key is in progress; retry with the same "
               "key to get its outcome.";
    case refusal_reason::outcome_unknown:
        return "The call may have run, and its outcome is not known. It will "
               "not be sent again; check with the service before using a new "
               "key.";
    case refusal_reason::different_request:
        return "This key was used for a request with another method, path or "
               "body; this attempt was not sent.";
    case refusal_reason::not_dispatched:
        return "No upstream was reached and the claim is being released; retry "
               "with the same key.";
    case refusal_reason::record_unreadable:
        return "The claim record of this key can't be decoded; the call will "
               "not be sent.";
    }
    return "";
}

} // namespace monsoondock::claims

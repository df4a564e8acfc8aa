#pragma once

#include <monsoondock/platform/memory_store.hpp>
#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>

namespace monsoondock::quarantine::test {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int DAEMONS = 8;
constexpr int GROUPS = 6;
// Content of the request that crashes every group on which it runs.
constexpr int CRASHER = -1;
constexpr milliseconds SIMULATED_TIME = 150s;
// Contents from this one downwards differ, but share a part of their prompts
// that crashes every group on which they run.
constexpr int FIRST_PART_CRASHER = -2;
constexpr monsoondock::crashes::prompt_part COMMON_PART = 1;
constexpr monsoondock::crashes::prompt_part CRASHING_PART = 2;
constexpr monsoondock::crashes::prompt_part FIRST_HARMLESS_PART = 10;
constexpr int HARMLESS_PARTS = 5;
// Losses after which the part is to be known, requests with it that may still
// run then, and the time until all daemons know: 2 s to notice a loss, up to
// 0.3 s to record it and 0.85 s to read the record.
constexpr int KNOWN_LOSSES = 5;
constexpr int LATE_REQUESTS = 3;
constexpr milliseconds KNOWLEDGE_TIME = 3500ms;

// Defects that a run injects to show that its checks detect them. Each disables
// one part of the quarantine.
enum class injected_defect
{
    none,
    not_confined,
    losses_not_recorded,
    trials_hidden,
    parts_not_recorded
};


// Faults that a run injects.
struct faults
{
    bool store_outage_ = false;
    bool lost_responses_ = true;
    int daemon_restarts_ = 0;
    int random_crashes_ = 0;
    int harmless_requests_ = 8;
    // Harmless requests per thousand that may be quarantined because they were
    // in flight on both groups that the crasher took down.
    int max_quarantined_permille_ = 0;
    // Requests with the part that crashes groups, over the first 100 s.
    int part_crashers_ = 0;
};


struct statistics
{
    long groups_lost_ = 0;
    long max_groups_lost_ = 0;
    long harmless_requests_ = 0;
    long completed_ = 0;
    long quarantined_harmless_ = 0;
    long writes_ = 0;
};


inline std::string make_name(std::string prefix, long long n)
{
    return prefix.append(std::to_string(n));
}


// Returns the part of the prompt that some contents share.
inline monsoondock::crashes::prompt_part part_of(int content)
{
    if (content <= FIRST_PART_CRASHER)
        return CRASHING_PART;
    return FIRST_HARMLESS_PART + static_cast<monsoondock::crashes::prompt_part>(
                                     std::max(content, 0) % HARMLESS_PARTS);
}


// Returns a record of the store without all that it says of parts.
inline std::string without_parts(const std::string& value)
{
    auto record = decode_suspect(value);
    if (!base::ok(record))
        return encode(part_record());
    base::value(record).parts_.clear();
    return encode(base::value(record));
}


struct request_state
{
    int content_ = 0;
    int daemon_ = 0;
    int incarnation_ = 0;
    bool finished_ = false;
    int attempts_ = 0;
    base::request_id id_;
    std::optional<group_instance> group_;
};


struct daemon_state
{
    int incarnation_ = 0;
    std::unique_ptr<suspect_registry> registry_;
    std::array<std::uint64_t, GROUPS> serving_generations_{};
    platform::version next_watch_version_;
};

} // namespace monsoondock::quarantine::test

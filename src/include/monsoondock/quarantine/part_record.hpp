#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/crashes/part_report.hpp>
#include <monsoondock/quarantine/suspect_record.hpp>

#include <map>
#include <string>
#include <string_view>

namespace monsoondock::quarantine {

/// Key of the record of parts of prompts. It begins with SUSPECT_PREFIX, so
/// that the watch of suspects delivers it.
inline constexpr std::string_view PART_RECORD_KEY = "suspects/parts";


/// What daemons tell each other of parts of prompts under which groups are
/// lost, beside the suspect records: one object in the store.
struct part_record
{
    /// Quarantined parts with the end of their quarantine.
    std::map<crashes::prompt_part, wall_time> quarantined_;
    /// Parts of requests that were completed although they were suspected, with
    /// the time of the report.
    std::map<crashes::prompt_part, wall_time> survivors_;

    friend bool operator==(const part_record&, const part_record&) = default;
};


/// Adds a report and drops what has expired. A survivor ends the quarantine of
/// its part.
void update(
    part_record& record, const crashes::part_report& report, wall_time now);


/// Returns what a record says that an earlier one did not. Quarantines that an
/// operator has removed are told as survivors.
crashes::part_report news_since(
    const part_record& earlier, const part_record& record, wall_time now);


/// Serialises a record as JSON.
std::string encode(const part_record& record);


/// Parses a record from JSON. Fails with problem code corrupt when the text is
/// not such a record.
base::result<part_record> decode_part_record(std::string_view text);

} // namespace monsoondock::quarantine

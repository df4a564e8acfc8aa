#include "host_pace_message.hpp"

#include <stdexcept>

namespace monsoondock::entry::pvt {

namespace {

constexpr std::size_t max_name_bytes = 255;
constexpr std::size_t max_pace_reports = 1000;


// Levels without evidence, most of them, take one bit each.
void put(wire::body_writer& out, const hostpace::pace_sums& sums)
{
    std::uint8_t used = 0;
    for (std::size_t i = 0; i < hostpace::load_levels; ++i) {
        if (sums.levels_.at(i) != hostpace::level_sums{})
            used = static_cast<std::uint8_t>(used | (1U << i));
    }
    out(used);
    for (const hostpace::level_sums& l : sums.levels_) {
        if (l != hostpace::level_sums{})
            out(static_cast<float>(l.observed_ms_),
                static_cast<float>(l.expected_ms_));
    }
}


void get(wire::body_reader& in, hostpace::pace_sums& sums)
{
    std::uint8_t used = 0;
    in(used);
    for (std::size_t i = 0; i < hostpace::load_levels; ++i) {
        if ((used & (1U << i)) == 0)
            continue;
        float observed = 0;
        float expected = 0;
        in(observed, expected);
        sums.levels_.at(i) = {observed, expected};
    }
}

} // namespace

void put(wire::body_writer& out, const host_pace_message& m)
{
    out(static_cast<std::uint8_t>(m.scope_));
    wire::write_text(out, m.source_);
    wire::write_count(out, m.reports_.size());
    for (const hostpace::pace_report& r : m.reports_) {
        wire::write_text(out, r.host_.value_);
        out(r.process_start_ms_);
        put(out, r.sums_);
    }
}


void get(wire::body_reader& in, host_pace_message& m)
{
    std::uint8_t scope = 0;
    in(scope);
    if (scope > static_cast<std::uint8_t>(pace_scope::alert))
        throw std::range_error("unknown scope");
    m.scope_ = static_cast<pace_scope>(scope);
    wire::read_text(in, m.source_, max_name_bytes);
    m.reports_.resize(wire::read_count(in, max_pace_reports));
    for (hostpace::pace_report& r : m.reports_) {
        wire::read_text(in, r.host_.value_, max_name_bytes);
        in(r.process_start_ms_);
        get(in, r.sums_);
    }
}

} // namespace monsoondock::entry::pvt

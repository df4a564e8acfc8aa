#include <monsoondock/crashes/part_tracker.hpp>
#include <monsoondock/quarantine/part_record.hpp>

#include <boost/json.hpp>

namespace monsoondock::quarantine {

namespace {

namespace json = boost::json;

using crashes::part_tracker;
using part_times = std::map<crashes::prompt_part, wall_time>;


json::object to_json(const part_times& times)
{
    json::object o;
    for (const auto& [part, time] : times)
        o[crashes::to_text({part})] = time.time_since_epoch().count();
    return o;
}


part_times parse_times(const json::object& o)
{
    part_times times;
    for (const auto& [part, time] : o)
        times[crashes::parse_part({part.data(), part.size()})] = wall_time(
            std::chrono::milliseconds(time.to_number<std::int64_t>()));
    return times;
}

} // namespace


void update(
    part_record& record, const crashes::part_report& report, wall_time now)
{
    std::erase_if(record.quarantined_, [&](const auto& entry) {
        return entry.second <= now;
    });
    std::erase_if(record.survivors_, [&](const auto& entry) {
        return now - entry.second >= part_tracker::survival_memory;
    });
    for (const crashes::quarantined_part& q : report.quarantined_) {
        if (!record.survivors_.contains(q.part_))
            record.quarantined_[q.part_] = now + q.remaining_;
    }
    for (const crashes::prompt_part part : report.survivors_) {
        record.survivors_[part] = now;
        record.quarantined_.erase(part);
    }
}


crashes::part_report
news_since(const part_record& earlier, const part_record& record, wall_time now)
{
    crashes::part_report news;
    for (const auto& [part, until] : record.quarantined_) {
        const auto known = earlier.quarantined_.find(part);
        const bool is_new =
            known == earlier.quarantined_.end() || known->second < until;
        if (until > now && is_new)
            news.quarantined_.push_back({part, until - now});
    }
    for (const auto& [part, time] : record.survivors_) {
        const auto known = earlier.survivors_.find(part);
        const bool is_new =
            known == earlier.survivors_.end() || known->second < time;
        if (is_new && now - time < part_tracker::survival_memory)
            news.survivors_.push_back(part);
    }
    for (const auto& [part, until] : earlier.quarantined_) {
        if (until > now && !record.quarantined_.contains(part) &&
            !record.survivors_.contains(part))
            news.survivors_.push_back(part);
    }
    return news;
}


std::string encode(const part_record& record)
{
    return json::serialize(json::object{
        {"quarantined_until_ms", to_json(record.quarantined_)},
        {"completed_at_ms", to_json(record.survivors_)}});
}


base::result<part_record> decode_part_record(std::string_view text)
{
    // Boost.JSON throws when a field is missing or has the wrong type.
    try {
        const json::value v = json::parse(text);
        const json::object& o = v.as_object();
        return part_record{
            parse_times(o.at("quarantined_until_ms").as_object()),
            parse_times(o.at("completed_at_ms").as_object())};
    } catch (const std::exception& e) {
        return base::problem{
            base::problem_code::corrupt,
            std::string("malformed record of prompt parts: ") + e.what(),
            ""};
    }
}

} // namespace monsoondock::quarantine

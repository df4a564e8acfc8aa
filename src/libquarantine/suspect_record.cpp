#include <monsoondock/quarantine/suspect_record.hpp>

#include <boost/json.hpp>

namespace monsoondock::quarantine {

namespace {

namespace json = boost::json;


json::object to_json(const group_instance& group)
{
    return {
        {"group", group.group_.value_},
        {"generation", group.generation_.value_}};
}


json::object to_json(const trial& t)
{
    json::object o = to_json(t.group_);
    o["daemon"] = t.daemon_.value_;
    o["token"] = t.token_;
    o["started_at_ms"] = t.started_at_.time_since_epoch().count();
    return o;
}


std::string text_at(const json::object& o, std::string_view name)
{
    return json::value_to<std::string>(o.at(name));
}


wall_time time_at(const json::object& o, std::string_view name)
{
    const auto since_epoch = o.at(name).to_number<std::int64_t>();
    return wall_time(std::chrono::milliseconds(since_epoch));
}


group_instance parse_group(const json::object& o)
{
    return {
        {text_at(o, "group")}, {o.at("generation").to_number<std::uint64_t>()}};
}


trial parse_trial(const json::object& o)
{
    return {
        parse_group(o),
        {text_at(o, "daemon")},
        text_at(o, "token"),
        time_at(o, "started_at_ms")};
}


suspect_record parse_record(const json::object& o)
{
    suspect_record r;
    r.fingerprint_.value_ = text_at(o, "fingerprint");
    r.workspace_.value_ = text_at(o, "workspace");
    r.deployment_.value_ = text_at(o, "deployment");
    r.lost_at_ = time_at(o, "lost_at_ms");
    for (const json::value& group : o.at("lost").as_array())
        r.lost_.insert(parse_group(group.as_object()));
    if (const json::value* parts = o.if_contains("parts"))
        for (const json::value& part : parts->as_array())
            r.parts_.push_back(
                crashes::parse_part(json::value_to<std::string>(part)));
    if (const json::value* t = o.if_contains("trial"))
        r.trial_ = parse_trial(t->as_object());
    return r;
}

} // namespace


bool is_quarantined(const suspect_record& record) noexcept
{
    return record.lost_.size() >= QUARANTINE_LOSSES;
}


std::string encode(const suspect_record& r)
{
    json::array lost;
    for (const group_instance& group : r.lost_)
        lost.emplace_back(to_json(group));
    json::object o{
        {"fingerprint", r.fingerprint_.value_},
        {"workspace", r.workspace_.value_},
        {"deployment", r.deployment_.value_},
        {"lost_at_ms", r.lost_at_.time_since_epoch().count()},
        {"lost", std::move(lost)}};
    json::array parts;
    for (const crashes::prompt_part part : r.parts_)
        parts.emplace_back(crashes::to_text({part}));
    if (!parts.empty())
        o["parts"] = std::move(parts);
    if (r.trial_)
        o["trial"] = to_json(*r.trial_);
    return json::serialize(o);
}


base::result<suspect_record> decode_suspect(std::string_view text)
{
    // Boost.JSON throws when a field is missing or has the wrong type.
    try {
        return parse_record(json::parse(text).as_object());
    } catch (const std::exception& e) {
        return base::problem{
            base::problem_code::corrupt,
            std::string("malformed suspect record: ") + e.what(),
            ""};
    }
}

} // namespace monsoondock::quarantine

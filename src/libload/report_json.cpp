#include <monsoondock/load/report.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace monsoondock::load {

namespace {

namespace json = boost::json;


double milliseconds(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}


json::object to_object(const percentiles& p)
{
    return {
        {"count", p.count_},
        {"p50_ms", milliseconds(p.p50_)},
        {"p90_ms", milliseconds(p.p90_)},
        {"p95_ms", milliseconds(p.p95_)},
        {"p99_ms", milliseconds(p.p99_)},
        {"max_ms", milliseconds(p.max_)}};
}


json::object to_object(const category_summary& g)
{
    return {
        {"name", g.name_},
        {"sent", g.sent_},
        {"completed", g.completed_},
        {"in_time", g.in_time_},
        {"refused", g.refused_},
        {"broken", g.broken_},
        {"wrong", g.wrong_},
        {"first_token", to_object(g.first_token_)},
        {"longest_gap", to_object(g.longest_gap_)},
        {"total", to_object(g.total_)}};
}


json::object to_object(const reason_count& r)
{
    return {{"reason", r.reason_}, {"count", r.count_}};
}


template <class Item>
json::array to_array(const std::vector<Item>& items)
{
    json::array array;
    for (const Item& item : items)
        array.push_back(to_object(item));
    return array;
}

} // namespace

std::string to_json(const summary& s)
{
    const std::chrono::duration<double> seconds = s.duration_;
    const json::object body{
        {"duration_s", seconds.count()},
        {"tokens", s.tokens_},
        {"goodput", s.goodput_},
        {"fairness", s.fairness_},
        {"lowest_share", s.lowest_share_},
        {"all", to_object(s.all_)},
        {"classes", to_array(s.classes_)},
        {"workspaces", to_array(s.workspaces_)},
        {"refusals", to_array(s.refusals_)},
        {"breaks", to_array(s.transport_failures_)},
        {"wrongs", to_array(s.wrong_answers_)}};
    return json::serialize(body);
}

} // namespace monsoondock::load

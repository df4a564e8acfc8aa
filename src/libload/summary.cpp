#include <monsoondock/load/summary.hpp>

#include <algorithm>
#include <map>

namespace monsoondock::load {

namespace {

using samples = std::vector<std::chrono::nanoseconds>;


/// Sums of one workspace or class in the making.
struct tally
{
    group_summary group_;
    samples first_tokens_;
    samples totals_;
    samples gaps_;
};

using reasons = std::map<std::string, std::size_t>;


bool is_in_time(const completed& c, request_class kind, const deadlines& bounds)
{
    const auto bound = deadline_of(bounds, kind);
    return bound.count() == 0 || c.total_ <= bound;
}


void add_completed(
    tally& t, const completed& c, const arrival& a, const deadlines& bounds)
{
    ++t.group_.completed_;
    t.totals_.push_back(c.total_);
    if (a.stream_) {
        t.first_tokens_.push_back(c.first_token_);
        t.gaps_.push_back(c.longest_gap_);
    }
    if (is_in_time(c, a.class_, bounds))
        ++t.group_.in_time_;
}


void add(tally& t, const record& r, const deadlines& bounds)
{
    ++t.group_.sent_;
    if (const auto* c = std::get_if<completed>(&r.outcome_))
        add_completed(t, *c, *r.arrival_, bounds);
    else if (std::holds_alternative<refused>(r.outcome_))
        ++t.group_.refused_;
    else if (std::holds_alternative<broken>(r.outcome_))
        ++t.group_.broken_;
    else
        ++t.group_.wrong_;
}


group_summary finish(const tally& t)
{
    group_summary g = t.group_;
    g.first_token_ = percentiles_of(t.first_tokens_);
    g.total_ = percentiles_of(t.totals_);
    g.longest_gap_ = percentiles_of(t.gaps_);
    return g;
}


template <class Filter>
group_summary summarize_group(
    const std::vector<record>& records,
    std::string name,
    const deadlines& bounds,
    Filter filter)
{
    tally t;
    t.group_.name_ = std::move(name);
    for (const record& r : records) {
        if (filter(*r.arrival_))
            add(t, r, bounds);
    }
    return finish(t);
}


/// Counts the outcomes of one kind by the text that describe gives.
template <class Outcome, class Describe>
std::vector<reason_count>
count_reasons(const std::vector<record>& records, Describe describe)
{
    reasons found;
    for (const record& r : records) {
        if (const auto* o = std::get_if<Outcome>(&r.outcome_))
            ++found[describe(*o)];
    }
    std::vector<reason_count> counts;
    for (const auto& [reason, count] : found)
        counts.push_back({reason, count});
    return counts;
}


std::string describe_refusal(const refused& r)
{
    std::string text = std::to_string(r.status_);
    text.append(" ").append(r.reason_).append(" ").append(r.run_);
    return text;
}


double share(const group_summary& g)
{
    return static_cast<double>(g.in_time_) / static_cast<double>(g.sent_);
}


void add_fairness(summary& s)
{
    double sum = 0.0;
    double squares = 0.0;
    double count = 0.0;
    for (const group_summary& g : s.workspaces_) {
        if (g.sent_ == 0)
            continue;
        sum += share(g);
        squares += share(g) * share(g);
        count += 1.0;
        s.lowest_share_ = std::min(s.lowest_share_, share(g));
    }
    if (squares > 0.0)
        s.fairness_ = sum * sum / (count * squares);
}


std::size_t count_tokens(const std::vector<record>& records)
{
    std::size_t tokens = 0;
    for (const record& r : records) {
        if (const auto* c = std::get_if<completed>(&r.outcome_))
            tokens += c->tokens_;
    }
    return tokens;
}


void add_groups(
    summary& s,
    const std::vector<record>& records,
    const std::vector<workspace>& workspaces,
    const deadlines& bounds)
{
    s.all_ = summarize_group(
        records, "all", bounds, [](const arrival&) { return true; });
    for (const request_class c : ALL_CLASSES)
        s.classes_.push_back(summarize_group(
            records, to_string(c), bounds, [c](const arrival& a) {
                return a.class_ == c;
            }));
    for (std::size_t i = 0; i < workspaces.size(); ++i)
        s.workspaces_.push_back(summarize_group(
            records, workspaces[i].id_.value_, bounds, [i](const arrival& a) {
                return a.workspace_ == i;
            }));
}

} // namespace

std::chrono::milliseconds deadline_of(const deadlines& d, request_class c)
{
    switch (c) {
    case request_class::interactive:
        return d.interactive_;
    case request_class::report:
        return d.report_;
    case request_class::call:
        break;
    }
    return d.call_;
}


summary summarize(
    const std::vector<record>& records,
    const std::vector<workspace>& workspaces,
    const deadlines& bounds,
    std::chrono::nanoseconds duration)
{
    summary s;
    s.duration_ = duration;
    add_groups(s, records, workspaces, bounds);
    s.refusals_ = count_reasons<refused>(records, describe_refusal);
    s.breaks_ = count_reasons<broken>(
        records, [](const broken& b) { return b.reason_; });
    s.wrongs_ =
        count_reasons<wrong>(records, [](const wrong& w) { return w.reason_; });
    s.tokens_ = count_tokens(records);
    const std::chrono::duration<double> seconds = duration;
    if (seconds.count() > 0.0)
        s.goodput_ = static_cast<double>(s.all_.in_time_) / seconds.count();
    add_fairness(s);
    return s;
}

} // namespace monsoondock::load

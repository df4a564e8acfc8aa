#include <monsoondock/load/summary.hpp>

#include <algorithm>
#include <map>

namespace monsoondock::load {

namespace {

using samples = std::vector<std::chrono::nanoseconds>;


/// Running totals of one workspace or class.
struct tally
{
    category_summary summary_;
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
    ++t.summary_.completed_;
    t.totals_.push_back(c.total_);
    if (a.stream_) {
        t.first_tokens_.push_back(c.first_token_);
        t.gaps_.push_back(c.longest_gap_);
    }
    if (is_in_time(c, a.class_, bounds))
        ++t.summary_.in_time_;
}


void add(tally& t, const request_record& r, const deadlines& bounds)
{
    ++t.summary_.sent_;
    if (const auto* c = std::get_if<completed>(&r.outcome_))
        add_completed(t, *c, *r.arrival_, bounds);
    else if (std::holds_alternative<refused>(r.outcome_))
        ++t.summary_.refused_;
    else if (std::holds_alternative<transport_failure>(r.outcome_))
        ++t.summary_.broken_;
    else
        ++t.summary_.wrong_;
}


category_summary finish(const tally& t)
{
    category_summary g = t.summary_;
    g.first_token_ = percentiles_of(t.first_tokens_);
    g.total_ = percentiles_of(t.totals_);
    g.longest_gap_ = percentiles_of(t.gaps_);
    return g;
}


template <class Filter>
category_summary summarize_category(
    const std::vector<request_record>& records,
    std::string name,
    const deadlines& bounds,
    Filter filter)
{
    tally t;
    t.summary_.name_ = std::move(name);
    for (const request_record& r : records) {
        if (filter(*r.arrival_))
            add(t, r, bounds);
    }
    return finish(t);
}


/// Counts the outcomes of one type by the text that describe returns.
template <class Outcome, class Describe>
std::vector<reason_count>
count_reasons(const std::vector<request_record>& records, Describe describe)
{
    reasons found;
    for (const request_record& r : records) {
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
    text.append(" ").append(r.reason_).append(" ").append(r.execution_);
    return text;
}


double in_time_share(const category_summary& g)
{
    return static_cast<double>(g.in_time_) / static_cast<double>(g.sent_);
}


void add_fairness(summary& s)
{
    double sum = 0.0;
    double squares = 0.0;
    double count = 0.0;
    for (const category_summary& g : s.workspaces_) {
        if (g.sent_ == 0)
            continue;
        sum += in_time_share(g);
        squares += in_time_share(g) * in_time_share(g);
        count += 1.0;
        s.lowest_share_ = std::min(s.lowest_share_, in_time_share(g));
    }
    if (squares > 0.0)
        s.fairness_ = sum * sum / (count * squares);
}


std::size_t count_tokens(const std::vector<request_record>& records)
{
    std::size_t tokens = 0;
    for (const request_record& r : records) {
        if (const auto* c = std::get_if<completed>(&r.outcome_))
            tokens += c->tokens_;
    }
    return tokens;
}


void add_categories(
    summary& s,
    const std::vector<request_record>& records,
    const std::vector<workspace>& workspaces,
    const deadlines& bounds)
{
    s.all_ = summarize_category(
        records, "all", bounds, [](const arrival&) { return true; });
    for (const request_class c : ALL_CLASSES)
        s.classes_.push_back(summarize_category(
            records, to_string(c), bounds, [c](const arrival& a) {
                return a.class_ == c;
            }));
    for (std::size_t i = 0; i < workspaces.size(); ++i)
        s.workspaces_.push_back(summarize_category(
            records, workspaces[i].id_.value_, bounds, [i](const arrival& a) {
                return a.workspace_index_ == i;
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
    const std::vector<request_record>& records,
    const std::vector<workspace>& workspaces,
    const deadlines& bounds,
    std::chrono::nanoseconds duration)
{
    summary s;
    s.duration_ = duration;
    add_categories(s, records, workspaces, bounds);
    s.refusals_ = count_reasons<refused>(records, describe_refusal);
    s.transport_failures_ = count_reasons<transport_failure>(
        records, [](const transport_failure& b) { return b.reason_; });
    s.wrong_answers_ = count_reasons<wrong_answer>(
        records, [](const wrong_answer& w) { return w.reason_; });
    s.tokens_ = count_tokens(records);
    const std::chrono::duration<double> seconds = duration;
    if (seconds.count() > 0.0)
        s.goodput_ = static_cast<double>(s.all_.in_time_) / seconds.count();
    add_fairness(s);
    return s;
}

} // namespace monsoondock::load

#include <monsoondock/load/report.hpp>

#include <iomanip>
#include <sstream>

namespace monsoondock::load {

namespace {

constexpr int NAME_COLUMNS = 20;
constexpr int COUNT_COLUMNS = 10;
constexpr int TIME_COLUMNS = 11;


double milliseconds(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}


void write_header(std::ostream& out, const char* label)
{
    out << std::left << std::setw(NAME_COLUMNS) << label << std::right;
    for (const char* name :
         {"sent", "completed", "in-time", "refused", "broken", "wrong"})
        out << std::setw(COUNT_COLUMNS) << name;
    for (const char* name :
         {"first-p50", "first-p95", "first-p99", "gap-p95", "total-p99"})
        out << std::setw(TIME_COLUMNS) << name;
    out << '\n';
}


void write_row(std::ostream& out, const category_summary& g)
{
    out << std::left << std::setw(NAME_COLUMNS) << g.name_ << std::right;
    for (const std::size_t count :
         {g.sent_, g.completed_, g.in_time_, g.refused_, g.broken_, g.wrong_})
        out << std::setw(COUNT_COLUMNS) << count;
    for (const auto time :
         {g.first_token_.p50_,
          g.first_token_.p95_,
          g.first_token_.p99_,
          g.longest_gap_.p95_,
          g.total_.p99_})
        out << std::setw(TIME_COLUMNS) << milliseconds(time);
    out << '\n';
}


void write_table(
    std::ostream& out,
    const char* label,
    const std::vector<category_summary>& rows)
{
    write_header(out, label);
    for (const category_summary& g : rows)
        write_row(out, g);
}


void write_reasons(
    std::ostream& out,
    const char* label,
    const std::vector<reason_count>& reasons)
{
    for (const reason_count& r : reasons)
        out << label << ": " << r.count_ << " x " << r.reason_ << '\n';
}

} // namespace

std::string to_text(const summary& s)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    write_table(out, "class (times in ms)", s.classes_);
    write_row(out, s.all_);
    write_table(out, "workspace", s.workspaces_);
    write_reasons(out, "refused", s.refusals_);
    write_reasons(out, "broken", s.transport_failures_);
    write_reasons(out, "wrong", s.wrong_answers_);
    const std::chrono::duration<double> seconds = s.duration_;
    out << "duration_s " << seconds.count() << ", tokens " << s.tokens_
        << ", goodput " << s.goodput_ << " requests/s, fairness "
        << std::setprecision(3) << s.fairness_ << ", lowest share "
        << s.lowest_share_ << '\n';
    return out.str();
}

} // namespace monsoondock::load

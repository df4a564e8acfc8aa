#include "execution_check.hpp"

#include <boost/json/parse.hpp>

namespace monsoondock::load::pvt {

namespace {

std::uint64_t
executions_of(const execution_counts& counts, const std::string& key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}


std::string find_contradiction(const outcome& o, std::uint64_t executions)
{
    if (executions > 1)
        return "run more than once";
    if (std::holds_alternative<completed>(o) && executions == 0)
        return "completed but never run";
    const auto* r = std::get_if<refused>(&o);
    if (r && r->execution_ == "not_run" && executions > 0)
        return "run after the answer not_run";
    return {};
}

} // namespace

std::optional<execution_counts> parse_execution_counts(std::string_view json)
{
    boost::system::error_code error;
    const auto body = boost::json::parse({json.data(), json.size()}, error);
    if (error || !body.is_object())
        return std::nullopt;
    execution_counts counts;
    for (const auto& entry : body.get_object()) {
        const auto count = entry.value().to_number<std::uint64_t>(error);
        if (error)
            return std::nullopt;
        counts[std::string(entry.key())] = count;
    }
    return counts;
}


void check_executions(
    std::vector<request_record>& records, const execution_counts& counts)
{
    for (request_record& r : records) {
        if (r.arrival_->class_ != request_class::call)
            continue;
        const auto executions =
            executions_of(counts, r.arrival_->idempotency_key_);
        const std::string contradiction =
            find_contradiction(r.outcome_, executions);
        if (!contradiction.empty())
            r.outcome_ = wrong_answer{contradiction};
    }
}

} // namespace monsoondock::load::pvt

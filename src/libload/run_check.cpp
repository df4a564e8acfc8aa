#include "run_check.hpp"

#include <boost/json/parse.hpp>

namespace monsoondock::load::pvt {

namespace {

std::uint64_t runs_of(const run_counts& counts, const std::string& key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}


std::string contradiction(const outcome& o, std::uint64_t runs)
{
    if (runs > 1)
        return "run more than once";
    if (std::holds_alternative<completed>(o) && runs == 0)
        return "completed without a run";
    const auto* r = std::get_if<refused>(&o);
    if (r && r->run_ == "not_run" && runs > 0)
        return "run after the answer not_run";
    return {};
}

} // namespace

std::optional<run_counts> parse_runs(std::string_view json)
{
    boost::system::error_code error;
    const auto body = boost::json::parse({json.data(), json.size()}, error);
    if (error || !body.is_object())
        return std::nullopt;
    run_counts counts;
    for (const auto& entry : body.get_object()) {
        const auto count = entry.value().to_number<std::uint64_t>(error);
        if (error)
            return std::nullopt;
        counts[std::string(entry.key())] = count;
    }
    return counts;
}


void check_runs(std::vector<record>& records, const run_counts& counts)
{
    for (record& r : records) {
        if (r.arrival_->class_ != request_class::call)
            continue;
        const auto runs = runs_of(counts, r.arrival_->key_);
        const std::string found = contradiction(r.outcome_, runs);
        if (!found.empty())
            r.outcome_ = wrong{found};
    }
}

} // namespace monsoondock::load::pvt

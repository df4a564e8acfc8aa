#include <monsoondock/relay/choose_upstream.hpp>

#include <algorithm>
#include <cmath>

namespace monsoondock::relay {

namespace {

const upstream_state& state_of(const upstream_board& board, const upstream& u)
{
    static const upstream_state unknown;
    const upstream_state* state = board.find(u.host_);
    return state != nullptr ? *state : unknown;
}


bool is_doubted(const upstream_state& s, base::time_point now)
{
    return s.doubted_until_ > now;
}


double median_interval(
    const std::vector<upstream>& all,
    const upstream_board& board,
    const std::string& model)
{
    std::vector<double> known;
    for (const upstream& u : all) {
        const double ms = state_of(board, u).event_interval_ms_;
        if (u.model_ == model && ms > 0)
            known.push_back(ms);
    }
    if (known.empty())
        return 0;
    const auto middle = known.begin() + static_cast<long>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}


double cost(
    const upstream& u,
    const upstream_state& s,
    double median_ms,
    const choice_request& request,
    const choice_weights& weights)
{
    double result = double(total_load(s)) / std::max(1U, u.slots_);
    if (u.data_centre_ != request.here_)
        result += weights.locality_;
    if (median_ms > 0 && s.event_interval_ms_ > 2 * median_ms)
        result += weights.slowness_ * (s.event_interval_ms_ / median_ms - 1);
    return result;
}

} // namespace

std::optional<std::size_t> choose_upstream(
    const std::vector<upstream>& all,
    const upstream_board& board,
    const choice_request& request,
    const choice_weights& weights)
{
    constexpr double doubt_cost = 1000;
    const double median_ms = median_interval(all, board, request.model_);
    std::optional<std::size_t> best;
    double best_cost = 0;
    // Equal costs are common, so the search starts at a random place.
    const auto start =
        static_cast<std::size_t>(request.draw_ * double(all.size()));
    for (std::size_t n = 0; n < all.size(); ++n) {
        const std::size_t i = (start + n) % all.size();
        const upstream& u = all[i];
        if (u.model_ != request.model_ || request.tried_.contains(u.host_))
            continue;
        const upstream_state& s = state_of(board, u);
        double c = cost(u, s, median_ms, request, weights);
        if (is_doubted(s, request.now_))
            c += doubt_cost;
        if (!best || c < best_cost) {
            best = i;
            best_cost = c;
        }
    }
    return best;
}


std::optional<long> most_spare_places(
    const std::vector<upstream>& all,
    const upstream_board& board,
    const std::string& model,
    base::time_point now)
{
    std::optional<long> most;
    for (const upstream& u : all) {
        const upstream_state& s = state_of(board, u);
        if (u.model_ != model || is_doubted(s, now))
            continue;
        const long spare = long{u.slots_} - long{total_load(s)};
        most = std::max(most.value_or(spare), spare);
    }
    return most;
}

} // namespace monsoondock::relay

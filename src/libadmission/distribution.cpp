#include <monsoondock/admission/distribution.hpp>

#include <algorithm>
#include <numeric>

namespace monsoondock::admission {

namespace {

double load_per_slot(const upstream_load& u)
{
    return u.requests_ / u.times_.slots_;
}

} // namespace

std::vector<double>
distribute(const std::vector<upstream_load>& upstreams, double requests)
{
    std::vector<std::size_t> order(upstreams.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return load_per_slot(upstreams[a]) < load_per_slot(upstreams[b]);
    });
    double slots = 0;
    double filled = requests;
    double level = 0;
    for (const std::size_t i : order) {
        const upstream_load& u = upstreams[i];
        if (slots > 0 && load_per_slot(u) >= level)
            break;
        slots += u.times_.slots_;
        filled += u.requests_;
        level = filled / slots;
    }
    std::vector<double> result;
    result.reserve(upstreams.size());
    for (const upstream_load& u : upstreams)
        result.push_back(std::max(0.0, level * u.times_.slots_ - u.requests_));
    return result;
}

} // namespace monsoondock::admission

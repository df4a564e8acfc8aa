#include "zipf.hpp"

#include <cmath>
#include <vector>

namespace monsoondock::load::pvt {

std::discrete_distribution<std::size_t> zipf(std::size_t count, double exponent)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < count; ++i)
        weights.push_back(std::pow(static_cast<double>(i + 1), -exponent));
    return {weights.begin(), weights.end()};
}

} // namespace monsoondock::load::pvt

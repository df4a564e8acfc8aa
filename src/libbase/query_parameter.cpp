#include <monsoondock/base/query_parameter.hpp>

#include <algorithm>

namespace monsoondock::base {

std::string_view query_parameter(std::string_view target, std::string_view name)
{
    std::string_view rest =
        target.substr(std::min(target.find('?'), target.size()));
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(pair.size());
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name && equals < pair.size())
            return pair.substr(equals + 1);
    }
    return {};
}

} // namespace monsoondock::base

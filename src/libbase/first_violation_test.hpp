#pragma once

#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>

namespace monsoondock::base {

/// Calls run with each seed from 1 to seeds and stops at the first violation.
/// run takes a seed and returns a description of the violated invariant, if
/// any. Prints and returns that description together with its seed.
template <class Run>
std::optional<std::string> first_violation(std::uint64_t seeds, const Run& run)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::optional<std::string> violation = run(seed);
        if (!violation)
            continue;
        std::string text = "seed ";
        text.append(std::to_string(seed)).append(": ").append(*violation);
        std::printf("%s\n", text.c_str());
        return text;
    }
    return std::nullopt;
}

} // namespace monsoondock::base

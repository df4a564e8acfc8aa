#pragma once

#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>

namespace monsoondock::base {

/// Plays seeds from 1 up to the given number until one breaks a rule. play
/// takes a seed and returns what was broken, if anything. The seed is printed
/// and returned with that.
template <class Play>
std::optional<std::string>
first_violation(std::uint64_t seeds, const Play& play)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::optional<std::string> violation = play(seed);
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

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/crashes/prompt_part.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace monsoondock::crashes {

namespace {

constexpr int hexadecimal = 16;


std::string_view trim(std::string_view text)
{
    static constexpr std::string_view space = " \t";
    const std::size_t first = text.find_first_not_of(space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(space) - first + 1);
}

} // namespace

prompt_part parse_part(std::string_view id)
{
    prompt_part value = 0;
    const char* end = id.data() + id.size();
    const auto [stop, failure] =
        std::from_chars(id.data(), end, value, hexadecimal);
    if (failure == std::errc() && stop == end)
        return value;
    return base::stable_hash(id);
}

std::vector<prompt_part> parse_shared_parts(std::string_view list)
{
    std::vector<prompt_part> parts;
    for (std::size_t comma = list.find(',');
         comma != std::string_view::npos && parts.size() < max_prompt_parts;
         comma = list.find(',')) {
        const std::string_view entry = list.substr(0, comma);
        parts.push_back(parse_part(trim(entry.substr(0, entry.find(':')))));
        list.remove_prefix(comma + 1);
    }
    return parts;
}


part_set to_set(std::vector<prompt_part> parts)
{
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}


bool holds(const part_set& parts, const part_set& others)
{
    return std::includes(
        parts.begin(), parts.end(), others.begin(), others.end());
}


part_set common_parts(const part_set& a, const part_set& b)
{
    part_set common;
    std::set_intersection(
        a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(common));
    return common;
}


std::string to_text(const std::vector<prompt_part>& parts)
{
    std::string text;
    char digits[16];
    for (const prompt_part part : parts) {
        const auto [end, failure] =
            std::to_chars(digits, digits + sizeof(digits), part, hexadecimal);
        if (!text.empty())
            text.push_back(',');
        text.append(digits, end);
    }
    return text;
}

} // namespace monsoondock::crashes

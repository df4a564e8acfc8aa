#include <monsoondock/platform/parse_store_body.hpp>

#include <boost/json/parse.hpp>

#include <optional>
#include <stdexcept>

namespace monsoondock::platform {

namespace json = boost::json;

namespace {

// Levels of a body that are searched for readable parts. The values of objects
// are at most at the fifth.
constexpr int max_searched_levels = 8;


std::optional<json::value> parse_whole(std::string_view text)
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    json::error_code failure;
    json::value parsed =
        json::parse({text.data(), text.size()}, failure, {}, options);
    if (failure)
        return std::nullopt;
    return parsed;
}


std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}


// Returns the position after the string that begins at a quote.
std::size_t skip_string(std::string_view text, std::size_t quote)
{
    std::size_t at = quote + 1;
    while (at < text.size() && text[at] != '"')
        at += text[at] == '\\' ? 2 : 1;
    return at + 1;
}


// Splits an object or array at the commas of its first level. Returns nothing
// when the text is another kind of value or its brackets aren't balanced.
std::optional<std::vector<std::string_view>> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t depth = 0;
    std::size_t begin = 1;
    std::size_t at = 0;
    while (at < text.size()) {
        const char next = text[at];
        if (next == '"') {
            at = skip_string(text, at);
            continue;
        }
        if (next == '{' || next == '[') {
            ++depth;
        } else if (depth == 0) {
            return std::nullopt;
        } else if (next == '}' || next == ']') {
            --depth;
        }
        const bool last = depth == 0;
        if (last && at + 1 != text.size())
            return std::nullopt;
        if (last || (next == ',' && depth == 1)) {
            parts.push_back(trim(text.substr(begin, at - begin)));
            begin = at + 1;
        }
        ++at;
    }
    if (begin != text.size() || depth != 0)
        return std::nullopt;
    return parts;
}


std::optional<json::value> parse_readable_parts(
    std::string_view text, std::string_view value_name, int levels);


// Adds the member to the object unless its name or value is unreadable.
void add_member(
    json::object& object,
    std::string_view member,
    std::string_view value_name,
    int levels)
{
    if (!member.starts_with('"'))
        return;
    const std::size_t name_end = skip_string(member, 0);
    if (name_end >= member.size())
        return;
    const auto name = parse_whole(member.substr(0, name_end));
    std::string_view value = trim(member.substr(name_end));
    if (!name || !value.starts_with(':'))
        return;
    value = trim(value.substr(1));
    auto parsed = name->as_string() == value_name
                      ? parse_whole(value)
                      : parse_readable_parts(value, value_name, levels);
    if (parsed)
        object[name->as_string()] = *std::move(parsed);
}


std::optional<json::value> parse_readable_parts(
    std::string_view text, std::string_view value_name, int levels)
{
    if (auto whole = parse_whole(text))
        return whole;
    if (levels == 0)
        return std::nullopt;
    const auto parts = split(text);
    if (!parts)
        return std::nullopt;
    if (text.front() == '{' && text.back() == '}') {
        json::object object;
        for (const std::string_view member : *parts)
            add_member(object, member, value_name, levels - 1);
        return object;
    }
    if (text.front() != '[' || text.back() != ']')
        return std::nullopt;
    json::array array;
    for (const std::string_view element : *parts) {
        if (auto parsed = parse_readable_parts(element, value_name, levels - 1))
            array.push_back(*std::move(parsed));
    }
    return array;
}

} // namespace

json::value parse_store_body(std::string_view body, std::string_view value_name)
{
    auto parsed =
        parse_readable_parts(trim(body), value_name, max_searched_levels);
    if (!parsed || !parsed->is_object())
        throw std::invalid_argument("the body of the response is no object");
    return *std::move(parsed);
}

} // namespace monsoondock::platform

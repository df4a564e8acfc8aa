#include <monsoondock/base/find_response.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cctype>

namespace monsoondock::base {

namespace {

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}


// Returns where a status line begins that ends the line, or npos. A body whose
// last line has no end may stand before it.
std::size_t find_status_line(std::string_view line)
{
    static constexpr std::string_view version = "HTTP/1.";
    static constexpr std::size_t shortest = version.size() + 5;
    for (std::size_t at = line.find(version); at != std::string_view::npos;
         at = line.find(version, at + version.size())) {
        const std::string_view rest = line.substr(at);
        if (rest.size() < shortest)
            break;
        const std::string_view code = rest.substr(version.size() + 2, 3);
        if (is_digit(rest[version.size()]) && rest[version.size() + 1] == ' ' &&
            std::all_of(code.begin(), code.end(), is_digit) &&
            (rest.size() == shortest || rest[shortest] == ' '))
            return at;
    }
    return std::string_view::npos;
}


// Returns the name of the field in a line, empty if there is none.
std::string_view name_of_field(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return {};
    const std::string_view name = line.substr(0, colon);
    const bool valid = std::all_of(name.begin(), name.end(), [](char c) {
        return std::isgraph(static_cast<unsigned char>(c)) != 0;
    });
    return valid ? name : std::string_view();
}


bool equal_names(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

} // namespace

std::size_t find_response(std::string_view text, std::string_view field_name)
{
    static constexpr std::size_t npos = std::string_view::npos;
    // Where the header begins to which the present line may belong. Each line
    // is looked at once.
    std::size_t header = npos;
    bool has_field = false;
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = text.find('\n', begin);
        if (end == npos)
            break;
        std::string_view line = text.substr(begin, end - begin);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty() && header != npos && has_field)
            return header;
        const std::string_view name = name_of_field(line);
        if (header == npos || name.empty()) {
            const std::size_t at = find_status_line(line);
            header = at == npos ? npos : begin + at;
            has_field = false;
        } else {
            has_field = has_field || equal_names(name, field_name);
        }
        begin = end + 1;
    }
    return npos;
}

} // namespace monsoondock::base

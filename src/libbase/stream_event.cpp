#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/base/stream_event.hpp>

#include <algorithm>
#include <charconv>

namespace monsoondock::base {

namespace {

// Returns true when the line is a field of that name. A line without a colon is
// a field without a value.
bool is_field(std::string_view line, std::string_view name)
{
    return line.starts_with(name) &&
           (line.size() == name.size() || line[name.size()] == ':');
}


// One space after the colon is not part of the value.
std::string_view value_of(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return {};
    line.remove_prefix(colon + 1);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}


void read_id(stream_event& event, std::string_view value)
{
    const auto id = parse_event_id(value);
    const bool single = event.id_form_ == event_id_form::missing;
    event.id_form_ =
        single && id ? event_id_form::number : event_id_form::invalid;
    event.id_ = id.value_or(0);
    event.id_text_ = value;
}

} // namespace

std::optional<std::uint64_t> parse_event_id(std::string_view value)
{
    std::uint64_t id = 0;
    const char* end = value.data() + value.size();
    const auto [stop, failure] = std::from_chars(value.data(), end, id);
    if (failure != std::errc() || stop != end)
        return std::nullopt;
    return id;
}


stream_event read_event(std::string_view text)
{
    stream_event event;
    // Lines of the content: those since begin, behind those in earlier.
    std::size_t begin = 0;
    std::string earlier;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        std::string_view line = text.substr(at, end - at);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const std::size_t next = std::min(end + 1, text.size());
        event.has_data_ = event.has_data_ || is_field(line, "data");
        if (is_field(line, "id")) {
            read_id(event, value_of(line));
            earlier.append(text, begin, at - begin);
            begin = next;
        }
        at = next;
    }
    const std::string_view rest = text.substr(begin);
    event.content_ =
        earlier.empty() ? stable_hash(rest) : stable_hash(earlier.append(rest));
    return event;
}


bool has_place(const stream_event& event) noexcept
{
    return event.has_data_ || event.id_form_ != event_id_form::missing;
}

} // namespace monsoondock::base

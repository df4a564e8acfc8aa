#include "stream_text.hpp"

#include <boost/json/parse.hpp>
#include <boost/system/system_error.hpp>

namespace monsoondock::load::pvt {

namespace {

constexpr std::string_view DATA = "data: ";


/// Appends the text of one chunk; true when its finish_reason is stop.
bool read_chunk(stream_text& s, std::string_view json)
{
    const auto body = boost::json::parse({json.data(), json.size()});
    const auto& choice = body.at("choices").at(0).as_object();
    if (const auto* delta = choice.if_contains("delta")) {
        if (const auto* text = delta->as_object().if_contains("content"))
            s.text_ += text->as_string().c_str();
    }
    const auto* reason = choice.if_contains("finish_reason");
    return reason && reason->is_string() && reason->as_string() == "stop";
}


void read_lines(stream_text& s, std::string_view body)
{
    bool stopped = false;
    while (!body.empty()) {
        const std::size_t end = body.find('\n');
        const std::string_view line = body.substr(0, end);
        body.remove_prefix(end == body.npos ? body.size() : end + 1);
        if (!line.starts_with(DATA))
            continue;
        const std::string_view data = line.substr(DATA.size());
        s.malformed_ = s.malformed_ || s.done_;
        if (data == "[DONE]")
            s.done_ = stopped;
        else
            stopped = read_chunk(s, data);
    }
}

} // namespace

stream_text read_stream(std::string_view body)
{
    stream_text s;
    // Boost.JSON reports a missing key or a wrong type by exception.
    try {
        read_lines(s, body);
    } catch (const std::exception&) {
        s.malformed_ = true;
    }
    return s;
}

} // namespace monsoondock::load::pvt

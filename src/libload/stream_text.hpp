#pragma once

#include <string>
#include <string_view>

namespace monsoondock::load::pvt {

/// Text of a streamed completion and whether it is complete.
struct stream_text
{
    std::string text_;
    /// The last chunk had finish_reason stop and was followed by [DONE].
    bool done_ = false;
    bool malformed_ = false;
};


/// Parses the server-sent events of a completion.
stream_text read_stream(std::string_view body);

} // namespace monsoondock::load::pvt

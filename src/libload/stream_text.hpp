#pragma once

#include <string>
#include <string_view>

namespace monsoondock::load::pvt {

/// What a streamed completion says.
struct stream_text
{
    std::string text_;
    /// The last chunk said stop and [DONE] came after it.
    bool done_ = false;
    bool malformed_ = false;
};


/// Reads the server-sent events of a completion.
stream_text read_stream(std::string_view body);

} // namespace monsoondock::load::pvt

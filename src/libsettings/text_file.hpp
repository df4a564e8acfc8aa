#pragma once

#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace monsoondock::settings::pvt {

/// Returns the content of a file, or nothing when it can't be read.
inline std::optional<std::string>
read_text_file(const std::filesystem::path& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in || std::filesystem::is_directory(path))
        return std::nullopt;
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace monsoondock::settings::pvt

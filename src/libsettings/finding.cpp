#include <monsoondock/settings/finding.hpp>

namespace monsoondock::settings {

std::string to_string(const finding& f)
{
    std::string text;
    if (!f.file_.empty())
        text += f.file_ + ":";
    if (f.line_ != 0)
        text += std::to_string(f.line_) + ":";
    if (!text.empty())
        text += " ";
    if (!f.key_.empty())
        text += f.key_ + ": ";
    text += f.wrong_;
    if (!f.allowed_.empty())
        text += "; allowed: " + f.allowed_;
    return text;
}

} // namespace monsoondock::settings

#include "raw_value.hpp"

#include <charconv>

namespace monsoondock::settings::pvt {

namespace {

constexpr std::size_t MAX_NUMBER_CHARS = 32;


std::string quoted(const std::string& text)
{
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            result += '\\';
        result += c;
    }
    return result + "\"";
}


std::string number_text(double value)
{
    char buffer[MAX_NUMBER_CHARS];
    const auto [end, error] =
        std::to_chars(buffer, buffer + sizeof buffer, value);
    std::string text(buffer, end);
    if (text.find_first_of(".en") == std::string::npos)
        text += ".0";
    return text;
}


std::string list_text(const std::vector<std::string>& items)
{
    std::string text = "[";
    for (const std::string& item : items) {
        if (text.size() > 1)
            text += ", ";
        text += quoted(item);
    }
    return text + "]";
}


struct type_name_visitor
{
    std::string operator()(bool) const
    {
        return "a boolean";
    }


    std::string operator()(std::int64_t) const
    {
        return "an integer";
    }


    std::string operator()(double) const
    {
        return "a float";
    }


    std::string operator()(const std::string&) const
    {
        return "a string";
    }


    std::string operator()(const std::vector<std::string>&) const
    {
        return "a list of strings";
    }


    std::string operator()(const unsupported_value& value) const
    {
        return value.type_;
    }
};


struct toml_text_visitor
{
    std::string operator()(bool value) const
    {
        return value ? "true" : "false";
    }


    std::string operator()(std::int64_t value) const
    {
        return std::to_string(value);
    }


    std::string operator()(double value) const
    {
        return number_text(value);
    }


    std::string operator()(const std::string& value) const
    {
        return quoted(value);
    }


    std::string operator()(const std::vector<std::string>& value) const
    {
        return list_text(value);
    }


    std::string operator()(const unsupported_value& value) const
    {
        return value.type_;
    }
};

} // namespace

std::string type_name(const raw_value& value)
{
    return std::visit(type_name_visitor{}, value);
}


std::string to_toml_text(const raw_value& value)
{
    return std::visit(toml_text_visitor{}, value);
}

} // namespace monsoondock::settings::pvt

#include "table_reader.hpp"

namespace monsoondock::settings::pvt {

namespace {

/// Extracts the key, which the parser's message ends with in single quotes.
std::string quoted_part(const std::string& message)
{
    const std::size_t end = message.rfind('\'');
    if (end == std::string::npos || end == 0)
        return {};
    const std::size_t begin = message.rfind('\'', end - 1);
    if (begin == std::string::npos)
        return {};
    return message.substr(begin + 1, end - begin - 1);
}


finding to_finding(const toml::parse_error& error, std::string_view file)
{
    const std::string message(error.description());
    finding f{
        std::string(file),
        static_cast<std::uint32_t>(error.source().begin.line),
        {},
        message,
        "TOML 1.0"};
    if (message.find("redefine") != std::string::npos) {
        f.key_ = quoted_part(message);
        f.wrong_ = "appears twice";
        f.allowed_ = "each key once in its table";
    }
    return f;
}


raw_value list_to_raw(const toml::array& list)
{
    std::vector<std::string> items;
    for (const toml::node& item : list) {
        const auto* text = item.as_string();
        if (text == nullptr)
            return unsupported_value{"a list with items that are not strings"};
        items.push_back(text->get());
    }
    return items;
}

} // namespace

checked<toml::table> parse_toml(std::string_view text, std::string_view file)
{
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        return findings{to_finding(error, file)};
    }
}


raw_value to_raw(const toml::node& node)
{
    if (const auto* flag = node.as_boolean())
        return flag->get();
    if (const auto* whole = node.as_integer())
        return whole->get();
    if (const auto* real = node.as_floating_point())
        return real->get();
    if (const auto* text = node.as_string())
        return text->get();
    if (const auto* list = node.as_array())
        return list_to_raw(*list);
    if (node.is_table())
        return unsupported_value{"a table"};
    return unsupported_value{"a date or time"};
}


void sort_by_line(findings& all)
{
    std::stable_sort(
        all.begin(), all.end(), [](const finding& a, const finding& b) {
            return a.line_ < b.line_;
        });
}


table_reader::table_reader(
    const toml::table& table,
    std::string file,
    std::string prefix,
    findings& faults)
    : table_(table), file_(std::move(file)), prefix_(std::move(prefix)),
      faults_(faults)
{}


const toml::table* table_reader::table(std::string_view key)
{
    const toml::node* node = take_node(key);
    if (node == nullptr)
        return nullptr;
    if (!node->is_table())
        add_fault(key, node, {"is " + type_name(to_raw(*node)), "a table"});
    return node->as_table();
}


void table_reader::finish()
{
    for (const auto& [key, node] : table_) {
        const std::string_view name = key.str();
        if (std::find(known_.begin(), known_.end(), name) == known_.end())
            add_fault(name, &node, {"is an unknown key", known_keys()});
    }
}


void table_reader::add_fault(
    std::string_view key, const toml::node* node, refusal why)
{
    faults_.push_back(
        {file_,
         static_cast<std::uint32_t>(node->source().begin.line),
         full_name(key),
         std::move(why.wrong_),
         std::move(why.allowed_)});
}


std::string table_reader::full_name(std::string_view key) const
{
    return prefix_ + std::string(key);
}


const toml::node* table_reader::take_node(std::string_view key)
{
    known_.emplace_back(key);
    return table_.get(key);
}


std::string table_reader::known_keys() const
{
    std::string text = "one of";
    for (const std::string& key : known_)
        text += (text.size() > 6 ? ", " : " ") + key;
    return text;
}

} // namespace monsoondock::settings::pvt

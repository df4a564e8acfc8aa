#include "assign.hpp"
#include "table_reader.hpp"
#include "text_file.hpp"

#include <monsoondock/settings/formatted_value.hpp>
#include <monsoondock/settings/tree_file.hpp>
#include <monsoondock/settings/validate.hpp>


namespace monsoondock::settings {

namespace {

std::uint32_t line_of(const toml::node& node)
{
    return static_cast<std::uint32_t>(node.source().begin.line);
}


/// Reads the nodes of one file and collects their faults.
class tree_reader
{
public:
    tree_reader(const toml::table& table, std::string file)
        : table_(table), file_(std::move(file))
    {}


    checked<settings_tree> read()
    {
        for (const auto& [key, node] : table_)
            read_node(std::string(key.str()), node);
        // Invalid values are missing from the tree, so validating it would
        // report faults that the file does not have.
        if (faults_.empty())
            check_tree();
        pvt::sort_by_line(faults_);
        if (!faults_.empty())
            return std::move(faults_);
        return std::move(tree_);
    }

private:
    void add_fault(const toml::node& at, std::string key, pvt::refusal why)
    {
        faults_.push_back(
            {file_,
             line_of(at),
             std::move(key),
             std::move(why.wrong_),
             std::move(why.allowed_)});
    }


    void read_node(const std::string& path, const toml::node& node)
    {
        const toml::table* sections = node.as_table();
        if (sections == nullptr) {
            add_fault(
                node,
                path,
                {"is " + pvt::type_name(pvt::to_raw(node)),
                 "tables named by the path of a node"});
            return;
        }
        settings_node parsed_node;
        parsed_node.path_.value_ = path;
        if (const auto parts = parse_path(parsed_node.path_))
            parsed_node.level_ = parts->level_;
        for (const auto& [name, section] : *sections)
            read_section(parsed_node, std::string(name.str()), section);
        tree_.nodes_.emplace(parsed_node.path_, std::move(parsed_node));
    }


    void read_section(
        settings_node& parsed_node,
        const std::string& name,
        const toml::node& node)
    {
        const toml::table* keys = node.as_table();
        if (keys == nullptr) {
            add_fault(
                node,
                parsed_node.path_.value_ + ":" + name,
                {"is " + pvt::type_name(pvt::to_raw(node)),
                 "a table of settings"});
            return;
        }
        for (const auto& [key, value] : *keys)
            read_value(parsed_node, name + "." + std::string(key.str()), value);
    }


    void read_value(
        settings_node& parsed_node,
        const std::string& key,
        const toml::node& value)
    {
        auto refused = pvt::assign(
            parsed_node.values_, parsed_node.level_, key, pvt::to_raw(value));
        if (refused)
            add_fault(
                value,
                parsed_node.path_.value_ + ":" + key,
                std::move(*refused));
    }


    void check_tree()
    {
        for (finding& f : validate(tree_)) {
            f.file_ = file_;
            f.line_ = find_line(f.key_);
            faults_.push_back(std::move(f));
        }
    }


    /// Returns the line of `path:section.key`, or of the innermost enclosing
    /// table when the key is absent.
    std::uint32_t find_line(const std::string& name) const
    {
        const std::size_t colon = name.find(':');
        const toml::node* node = table_.get(name.substr(0, colon));
        if (node == nullptr)
            return 0;
        std::uint32_t line = line_of(*node);
        if (colon == std::string::npos)
            return line;
        const std::size_t dot = name.find('.', colon);
        const toml::node* section =
            node->as_table()->get(name.substr(colon + 1, dot - colon - 1));
        if (section == nullptr)
            return line;
        line = line_of(*section);
        const toml::node* value =
            section->as_table()->get(name.substr(dot + 1));
        return value == nullptr ? line : line_of(*value);
    }

    const toml::table& table_;
    std::string file_;
    findings faults_;
    settings_tree tree_;
};

} // namespace

checked<settings_tree> load_tree_file(const std::filesystem::path& path)
{
    const auto text = pvt::read_text_file(path);
    if (!text)
        return findings{
            {path.string(), 0, {}, "cannot be read", "a readable TOML file"}};
    return parse_tree(*text, path.string());
}


checked<settings_tree> parse_tree(std::string_view text, std::string_view file)
{
    checked<toml::table> parsed = pvt::parse_toml(text, file);
    if (auto* faults = std::get_if<findings>(&parsed))
        return std::move(*faults);
    return tree_reader(std::get<toml::table>(parsed), std::string(file)).read();
}


std::string to_toml(const settings_tree& tree)
{
    std::string text;
    for (const auto& [path, node] : tree.nodes_) {
        if (!text.empty())
            text += "\n";
        text += "[\"" + path.value_ + "\"]\n";
        for (const formatted_value& value : format_values(node.values_))
            text += value.key_ + " = " + value.text_ + "\n";
    }
    return text;
}

} // namespace monsoondock::settings

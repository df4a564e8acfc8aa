#include "print.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace monsoondockctl {

namespace json = boost::json;

namespace {

std::string cell_text(const json::value& value)
{
    if (value.is_string())
        return std::string(value.get_string());
    if (value.is_null())
        return "-";
    return json::serialize(value);
}


struct column
{
    std::string name_;
    std::vector<std::string> cells_;
    std::size_t width_ = 0;
};


/// Returns the columns in the order in which they first occur in the rows.
std::vector<column> columns_of(const json::array& rows)
{
    std::vector<column> columns;
    for (const json::value& row : rows) {
        for (const auto& item : row.get_object()) {
            const std::string name(item.key());
            const bool known = std::any_of(
                columns.begin(), columns.end(), [&](const column& c) {
                    return c.name_ == name;
                });
            if (!known)
                columns.push_back({name, {}, name.size()});
        }
    }
    for (column& c : columns) {
        for (const json::value& row : rows) {
            const json::value* value = row.get_object().if_contains(c.name_);
            c.cells_.push_back(value != nullptr ? cell_text(*value) : "-");
            c.width_ = std::max(c.width_, c.cells_.back().size());
        }
    }
    return columns;
}


void print_cell(const column& c, const std::string& text, bool last)
{
    if (last)
        std::cout << text << "\n";
    else
        std::cout << std::left << std::setw(static_cast<int>(c.width_)) << text
                  << "  ";
}


void print_table(const json::array& rows)
{
    const std::vector<column> columns = columns_of(rows);
    for (std::size_t i = 0; i < columns.size(); ++i)
        print_cell(columns[i], columns[i].name_, i + 1 == columns.size());
    for (std::size_t row = 0; row < rows.size(); ++row) {
        for (std::size_t i = 0; i < columns.size(); ++i)
            print_cell(
                columns[i], columns[i].cells_[row], i + 1 == columns.size());
    }
}


bool is_table(const json::value& value)
{
    const json::array* rows = value.if_array();
    if (rows == nullptr || rows->empty())
        return false;
    return std::all_of(rows->begin(), rows->end(), [](const json::value& row) {
        return row.is_object();
    });
}


void print_text(const json::value& value)
{
    if (is_table(value)) {
        print_table(value.get_array());
        return;
    }
    if (const json::array* list = value.if_array()) {
        for (const json::value& item : *list)
            std::cout << cell_text(item) << "\n";
        return;
    }
    const json::object* object = value.if_object();
    if (object == nullptr) {
        std::cout << cell_text(value) << "\n";
        return;
    }
    for (const auto& item : *object) {
        if (!is_table(item.value())) {
            std::cout << item.key() << ": " << cell_text(item.value()) << "\n";
            continue;
        }
        std::cout << item.key() << ":\n";
        print_table(item.value().get_array());
    }
}

} // namespace

void print(const json::value& value, output_format format)
{
    if (format == output_format::json)
        std::cout << json::serialize(value) << "\n";
    else
        print_text(value);
}

} // namespace monsoondockctl

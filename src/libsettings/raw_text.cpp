#include "raw_text.hpp"

#include "table_reader.hpp"

namespace monsoondock::settings::pvt {

raw_value parse_raw_text(const std::string& text)
{
    const checked<toml::table> parsed = parse_toml("value = " + text, "");
    const auto* table = std::get_if<toml::table>(&parsed);
    if (table == nullptr || table->size() != 1)
        return text;
    return to_raw(*table->get("value"));
}

} // namespace monsoondock::settings::pvt

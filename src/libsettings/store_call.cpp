#include <monsoondock/settings/store_call.hpp>

namespace monsoondock::settings {

const std::string& key_of(const store_call& call)
{
    if (const auto* read = std::get_if<read_object>(&call.what_))
        return read->key_;
    return std::get<write_object>(call.what_).key_;
}

} // namespace monsoondock::settings

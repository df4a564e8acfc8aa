#include "status_row.hpp"

#include <monsoondock/base/stable_hash.hpp>

namespace monsoondock::membership::pvt {

std::uint32_t name_hash(const base::daemon_id& id)
{
    return static_cast<std::uint32_t>(base::stable_hash(id.value_));
}


status_row make_row(const member_record& record)
{
    const auto low = static_cast<std::uint32_t>(record.incarnation_.value_);
    return {name_hash(record.id_), low, record.status_};
}

} // namespace monsoondock::membership::pvt

#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>

namespace monsoondock::base {

/// Name of one kind of thing. Tag keeps the kinds apart at compile time.
template <class Tag>
struct identifier
{
    std::string value_;

    friend auto operator<=>(const identifier&, const identifier&) = default;
};


/// Writes the plain name, without quotes.
template <class Tag>
std::ostream& operator<<(std::ostream& out, const identifier<Tag>& id)
{
    return out << id.value_;
}


/// Serialization hook for cereal.
template <class Archive, class Tag>
void serialize(Archive& archive, identifier<Tag>& id)
{
    archive(id.value_);
}

/// Machine that carries a model worker, a plain service or a daemon.
using host_id = identifier<struct host_tag>;
/// Replica group: the hosts that together hold one copy of a model.
using group_id = identifier<struct group_tag>;
/// Set of hosts that share a fast fabric.
using fabric_domain_id = identifier<struct fabric_domain_tag>;
/// Data centres that sit close together.
using region_id = identifier<struct region_tag>;
/// Place that loses power or network as a whole.
using data_centre_id = identifier<struct data_centre_tag>;
/// Customer on whose behalf requests run.
using workspace_id = identifier<struct workspace_tag>;
/// Model as operators deploy it, or a plain service.
using deployment_id = identifier<struct deployment_tag>;
/// One monsoondockd process, by the name in its settings.
using daemon_id = identifier<struct daemon_tag>;
/// One request of a caller.
using request_id = identifier<struct request_tag>;

} // namespace monsoondock::base

template <class Tag>
struct std::hash<monsoondock::base::identifier<Tag>>
{
    std::size_t
    operator()(const monsoondock::base::identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value_);
    }
};

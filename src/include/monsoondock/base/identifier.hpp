#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>

namespace monsoondock::base {

/// Strongly typed name. Different tags make distinct types, so that, for
/// instance, a host name cannot be passed where a group name is expected.
template <class Tag>
struct identifier
{
    std::string value_;

    friend auto operator<=>(const identifier&, const identifier&) = default;
};


/// Writes the name without quotes.
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

/// Machine that runs a model worker, a plain service or a daemon.
using host_id = identifier<struct host_tag>;
/// Replica group: the hosts that together hold one copy of a model.
using group_id = identifier<struct group_tag>;
/// Set of hosts connected by the same high-bandwidth network fabric.
using fabric_domain_id = identifier<struct fabric_domain_tag>;
/// Group of data centres that are geographically close.
using region_id = identifier<struct region_tag>;
/// Failure domain whose hosts can lose power or network together.
using data_centre_id = identifier<struct data_centre_tag>;
/// Customer on whose behalf requests run.
using workspace_id = identifier<struct workspace_tag>;
/// Model or plain service as configured by an operator.
using deployment_id = identifier<struct deployment_tag>;
/// One monsoondockd process, named in its settings.
using daemon_id = identifier<struct daemon_tag>;
/// One request from a caller.
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

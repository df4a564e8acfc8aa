#pragma once

#include <monsoondock/base/identifier.hpp>

#include <string>
#include <string_view>

namespace monsoondock::quarantine {

/// Digest of a request that is the same wherever and whenever it is sent.
using suspect_fingerprint = base::identifier<struct suspect_fingerprint_tag>;

/// Prefix of every suspect in the store.
inline constexpr std::string_view SUSPECT_PREFIX = "suspects/";


/// Returns the fingerprint of a request.
suspect_fingerprint fingerprint_request(
    const base::workspace_id& workspace,
    const base::deployment_id& deployment,
    std::string_view body);


/// Returns the key of the store object of a suspect.
std::string suspect_object_key(const suspect_fingerprint& fingerprint);

} // namespace monsoondock::quarantine

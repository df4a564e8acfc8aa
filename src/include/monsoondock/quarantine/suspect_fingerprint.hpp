#pragma once

#include <monsoondock/base/identifier.hpp>

#include <string>
#include <string_view>

namespace monsoondock::quarantine {

/// Digest that identifies the content of a request. Identical requests have the
/// same digest on every daemon.
using suspect_fingerprint = base::identifier<struct suspect_fingerprint_tag>;

/// Prefix of the keys of all suspect records in the store.
inline constexpr std::string_view SUSPECT_PREFIX = "suspects/";


/// Returns the fingerprint of a request, a digest of its workspace, deployment
/// and body.
suspect_fingerprint fingerprint_request(
    const base::workspace_id& workspace,
    const base::deployment_id& deployment,
    std::string_view body);


/// Returns the store key of a suspect record.
std::string suspect_object_key(const suspect_fingerprint& fingerprint);

} // namespace monsoondock::quarantine

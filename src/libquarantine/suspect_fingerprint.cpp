#include <monsoondock/base/stable_digest.hpp>
#include <monsoondock/quarantine/suspect_fingerprint.hpp>

namespace monsoondock::quarantine {

suspect_fingerprint fingerprint_request(
    const base::workspace_id& workspace,
    const base::deployment_id& deployment,
    std::string_view body)
{
    return {base::stable_digest({workspace.value_, deployment.value_, body})};
}


std::string suspect_object_key(const suspect_fingerprint& fingerprint)
{
    return std::string(SUSPECT_PREFIX) + fingerprint.value_;
}

} // namespace monsoondock::quarantine

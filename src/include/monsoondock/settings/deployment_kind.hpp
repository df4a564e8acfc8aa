#pragma once

namespace monsoondock::settings {

/// What a deployment serves.
enum class deployment_kind
{
    /// A model whose replicas are groups of hosts.
    model,
    /// A plain service; each of its hosts answers alone.
    service
};


/// Returns `model` or `service`.
const char* to_string(deployment_kind kind) noexcept;

} // namespace monsoondock::settings

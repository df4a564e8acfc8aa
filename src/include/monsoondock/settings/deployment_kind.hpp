#pragma once

namespace monsoondock::settings {

/// What a deployment serves.
enum class deployment_kind
{
    /// A model whose replicas are groups of hosts.
    model,
    /// A service without a model; each of its hosts handles requests alone.
    service
};


/// Returns `model` or `service`.
const char* to_string(deployment_kind kind) noexcept;

} // namespace monsoondock::settings

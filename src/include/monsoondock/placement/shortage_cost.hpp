#pragma once

namespace monsoondock::placement {

/// Returns the cost of a shortage of hosts for one model, in units of hosts.
/// needed is the number of hosts that the model's requests keep busy, hosts the
/// number in its groups. The cost rises steeply towards full utilisation, so
/// that the model with the greatest shortage gains most from another group.
double shortage_cost(double needed, double hosts) noexcept;

} // namespace monsoondock::placement

#pragma once

namespace monsoondock::placement {

/// Returns what it costs callers that a model whose requests keep needed
/// hosts busy has so many hosts in groups. It grows fast as the groups come
/// near to full use, so that the worst supplied model gains most from a group.
double shortage(double needed, double hosts) noexcept;

} // namespace monsoondock::placement

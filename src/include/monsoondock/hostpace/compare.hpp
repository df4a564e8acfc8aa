#pragma once

#include <monsoondock/hostpace/pace_state.hpp>

#include <vector>

namespace monsoondock::hostpace {

/// Sets the relative pace of the upstreams of one model, or of one service: the
/// pace factor of each divided by their median, so that nothing changes when
/// all of them are slow. Differences of less than a quarter are ignored.
/// Returns those of which slow_ has changed.
std::vector<pace_state*> compare(const std::vector<pace_state*>& all);

} // namespace monsoondock::hostpace

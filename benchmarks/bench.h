#pragma once

#include <cstdint>

#include "banyanloft/config/json.h"

namespace banyanloft {

/// Benchmarks of the node logic on a simulated fleet (NodeFleet). Each prints a
/// table and returns its results, which are printed as the last line.
Json FloodBench(uint64_t seed);
Json RetriesBench(uint64_t seed);
Json RunOnceBench(uint64_t seed);
Json ConvergenceBench(uint64_t seed);
Json ControlBench(uint64_t seed);
Json MembershipBench(uint64_t seed);

}  // namespace banyanloft

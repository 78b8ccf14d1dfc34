#pragma once

#include <cstdint>

#include "banyanloft/config/json.h"

namespace banyanloft {

/// Measurements of the decisions in process, with small fakes. Each prints a
/// table and returns its figures for the last line.
Json FloodBench(uint64_t seed);
Json RetriesBench(uint64_t seed);
Json RunOnceBench(uint64_t seed);
Json ConvergenceBench(uint64_t seed);
Json ControlBench(uint64_t seed);
Json MembershipBench(uint64_t seed);

}  // namespace banyanloft

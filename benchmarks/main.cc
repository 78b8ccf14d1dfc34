#include <fmt/format.h>

#include "banyanloft/core/option_table.h"
#include "benchmarks/bench.h"

namespace banyanloft {
namespace {

int Main(int argc, char** argv) {
  int64_t seed = 1;
  OptionTable options;
  options.Number("seed", &seed, 1, INT64_MAX, "seed of all random choices");
  OptionTable::Parsed parsed = options.Parse(argc, argv);
  const std::vector<std::pair<std::string, Json (*)(uint64_t)>> benches = {
      {"flood", FloodBench},      {"retries", RetriesBench},
      {"run_once", RunOnceBench}, {"convergence", ConvergenceBench},
      {"control", ControlBench},  {"membership", MembershipBench}};
  for (const auto& [name, run] : benches) {
    if (!parsed.errors.empty() ||
        parsed.positional != std::vector<std::string>{name})
      continue;
    Json results = run(static_cast<uint64_t>(seed));
    results["seed"] = seed;
    fmt::print("{}\n", results.dump());
    return 0;
  }
  for (const std::string& error : parsed.errors)
    fmt::print(stderr, "banyanloft_bench: {}\n", error);
  fmt::print(stderr, "usage: banyanloft_bench NAME [--seed N]; names:");
  for (const auto& [name, run] : benches) fmt::print(stderr, " {}", name);
  fmt::print(stderr, "\n");
  return 2;
}

}  // namespace
}  // namespace banyanloft

int main(int argc, char** argv) { return banyanloft::Main(argc, argv); }

#pragma once

#include <cstdint>
#include <random>

namespace banyanloft {

/// Seeded pseudo-random number generator; the same seed gives the same sequence
/// on every machine. Not thread safe.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  /// A number in [0, bound); 0 if `bound` is 0.
  uint64_t Below(uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }
  /// 64 random bits.
  uint64_t Bits() { return engine_(); }
  /// True with a probability of `permille` / 1000.
  bool ChancePermille(int permille) {
    return static_cast<int>(Below(1000)) < permille;
  }

 private:
  std::mt19937_64 engine_;
};

/// A seed from the operating system, for processes without a configured seed.
inline uint64_t SeedFromDevice() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace banyanloft

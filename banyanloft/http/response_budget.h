#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace banyanloft {

/// Settings of ResponseBudget.
struct ResponseBudgetSettings {
  /// Memory of responses longer than `small_bytes`, in bytes.
  size_t max_bytes = 256 * 1024 * 1024;
  /// Memory of all other responses, in bytes. Apart, so that long responses
  /// never cause ordinary ones to be given up.
  size_t max_small_bytes = 64 * 1024 * 1024;
  size_t small_bytes = 16 * 1024;
};

/// Bounds the memory of responses that wait until their clients have read them,
/// over all connections of a server. Deterministic; not thread safe; performs
/// no I/O.
class ResponseBudget {
 public:
  explicit ResponseBudget(const ResponseBudgetSettings& settings)
      : settings_(settings) {}

  /// Replaces the settings.
  void Apply(const ResponseBudgetSettings& settings) { settings_ = settings; }
  /// A response of a connection takes `bytes` of memory. Returns a number for
  /// Release(), which is never 0.
  uint64_t Hold(uint64_t connection, size_t bytes);
  /// A response takes no more memory. No effect if the number is 0.
  void Release(uint64_t number);
  /// The connection that must be closed because a limit is exceeded: that of
  /// the response that is held for longest. Empty if no limit is exceeded, or
  /// only by a single response.
  std::optional<uint64_t> Excess() const;

  /// Memory of all responses, in bytes.
  size_t HeldBytes() const { return long_.bytes + small_.bytes; }

 private:
  struct Response {
    uint64_t connection = 0;
    size_t bytes = 0;
  };
  struct Responses {
    std::map<uint64_t, Response> by_number;  ///< The oldest is first.
    size_t bytes = 0;

    bool Exceed(size_t max_bytes) const {
      return bytes > max_bytes && by_number.size() > 1;
    }
    bool Release(uint64_t number);
  };

  ResponseBudgetSettings settings_;
  Responses long_;
  Responses small_;
  uint64_t last_number_ = 0;
};

}  // namespace banyanloft

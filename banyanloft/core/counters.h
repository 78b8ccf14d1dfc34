#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace banyanloft {

/// Counters of one state machine, by metric name and label value. Owned by the
/// thread that runs the state machine; the metrics page receives a copy.
class Counters {
 public:
  /// Metric name and value of its one label (empty if it has none).
  using Key = std::pair<std::string, std::string>;

  /// Adds `amount` to a counter.
  void Add(std::string name, std::string label = "", uint64_t amount = 1) {
    values_[Key(std::move(name), std::move(label))] += amount;
  }
  /// Value of a counter; 0 if it was never incremented.
  uint64_t Get(const std::string& name, const std::string& label = "") const {
    auto it = values_.find(Key(name, label));
    return it == values_.end() ? 0 : it->second;
  }
  /// All counters, sorted.
  const std::map<Key, uint64_t>& All() const { return values_; }

 private:
  std::map<Key, uint64_t> values_;
};

}  // namespace banyanloft

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of peer discovery through the platform.
struct RendezvousSettings {
  size_t addresses = 8;  ///< Maximum addresses in a zone's object.
  int64_t isolated_period_ms =
      1500;  ///< Read interval of a daemon without peers, in ms.
  int64_t refresh_period_ms =
      5000;  ///< Refresh interval of the zone's watcher, in ms.
  int64_t start_window_ms =
      100;  ///< The first read is made within this time, in ms.
  int64_t timeout_ms = 3000;  ///< Time-out of a read, in ms.
};

/// Load on the store if all daemons started at once (thundering herd).
struct StartupLoad {
  size_t members = 0;         ///< Number of daemons in the fleet.
  size_t document_bytes = 0;  ///< Size of the configuration.
};

/// Peer discovery: keeps a bounded sample of live addresses per zone in the
/// platform, so that daemons start without a list of peers and partitions
/// merge. Only daemons without peers and zone watchers read it. Deterministic;
/// not thread-safe; performs no I/O.
class Rendezvous {
 public:
  /// The stored object of one zone.
  struct Entry {
    std::string zone;
    uint64_t revision = 0;
    std::string value;
  };
  /// A conditional write.
  struct Write {
    std::string value;
    uint64_t expected_revision = 0;  ///< 0: the object must not exist.
  };

  Rendezvous(const RendezvousSettings& settings, std::string zone,
             std::string own_address, uint64_t seed, TimeMs now);

  /// True if a read of all zones' objects is due.
  bool ReadDue(TimeMs now, bool isolated, bool watching);
  /// Handles the objects read; returns all addresses in them.
  std::vector<std::string> OnRead(const std::vector<Entry>& entries);
  /// The write due after a read, if the zone's addresses or its load have
  /// changed. `live` and `dead` are the addresses of the zone's live members
  /// and of those that left or are unreachable.
  std::optional<Write> WriteDue(bool watching,
                                const std::vector<std::string>& live,
                                const std::vector<std::string>& dead,
                                const StartupLoad& load);
  /// Maximum of the loads stored by all zones, as of the last read.
  const StartupLoad& ObservedLoad() const { return max_load_; }
  /// The read failed or timed out.
  void OnFailure();

 private:
  RendezvousSettings settings_;
  std::string zone_;
  std::string own_address_;
  Random random_;
  TimeMs next_read_;
  bool read_done_ = false;
  uint64_t revision_ = 0;
  std::vector<std::string> stored_addresses_;
  StartupLoad stored_load_;  ///< Load stored in the own zone's object.
  StartupLoad max_load_;
};

}  // namespace banyanloft

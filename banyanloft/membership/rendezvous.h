#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of the meeting place in the platform.
struct RendezvousSettings {
  size_t addresses = 8;  ///< Live addresses kept in a zone's object.
  int64_t isolated_period_ms =
      1500;  ///< A daemon without peers reads this often, in ms.
  int64_t refresh_period_ms =
      5000;  ///< The watching member reads and writes this often, in ms.
  int64_t start_window_ms =
      100;                    ///< The first read falls within this time, in ms.
  int64_t timeout_ms = 3000;  ///< Wait for an answer, in ms.
};

/// What a herd of daemons that starts together would ask of the store.
struct StartupLoad {
  size_t members = 0;         ///< Daemons of the fleet.
  size_t document_bytes = 0;  ///< Length of the configuration.
};

/// Keeps a bounded sample of live addresses per zone in the platform, so that
/// daemons start without a list of peers and separate islands find each other.
/// Reads are made by lonely daemons and by watching members only.
/// Deterministic; not thread safe; free of I/O.
class Rendezvous {
 public:
  /// One zone's object as read.
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

  /// True if all zones' objects should be read now.
  bool ReadDue(TimeMs now, bool isolated, bool watching);
  /// The objects were read. Returns the addresses in them.
  std::vector<std::string> OnRead(const std::vector<Entry>& entries);
  /// What to write after a read, if the zone's object lacks live addresses or
  /// tells another load. `live` are live addresses of the zone, `dead` those
  /// known to be gone.
  std::optional<Write> WriteDue(bool watching,
                                const std::vector<std::string>& live,
                                const std::vector<std::string>& dead,
                                const StartupLoad& load);
  /// The greatest load told by any zone's object at the last read.
  const StartupLoad& ObservedLoad() const { return max_load_; }
  /// The read or write failed or was lost.
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
  StartupLoad stored_load_;  ///< As the zone's object tells it.
  StartupLoad max_load_;
};

}  // namespace banyanloft

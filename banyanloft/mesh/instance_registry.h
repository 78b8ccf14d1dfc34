#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// What a backend server says of itself in a heartbeat.
struct InstanceReport {
  std::string id;             ///< Of the backend server; a restart may keep it.
  int64_t start_time_ms = 0;  ///< Unix time of its start, in ms; 0: not told.
  int64_t sequence = 0;       ///< Grows with each report since its start.
  std::string service;
  std::string address;  ///< `ip:port` at which it takes requests.
  int slots = 0;        ///< Requests that it runs at once.
  bool draining = false;
  int64_t warm_up_ms =
      0;  ///< Time for which it stays slow after its start, ms.
};

/// Standing of the backend server beside this daemon.
enum class InstanceState : uint8_t {
  kUnknown,   ///< None has reported, or the last one crashed.
  kReady,     ///< It takes new work.
  kDraining,  ///< It leaves; what runs is finished, nothing new is started.
  kGone,      ///< It has left.
};

/// Name of a state as it stands in logs.
const char* NameOf(InstanceState state);

/// The backend server beside this daemon as its reports tell it: late reports
/// and those of earlier starts change nothing. Leaving is final for a start.
/// Deterministic; not thread safe.
class InstanceRegistry {
 public:
  /// `address`: only reports of this address count.
  explicit InstanceRegistry(std::string address)
      : address_(std::move(address)) {}

  /// What a report changed.
  enum class Change : uint8_t {
    kNone,     ///< Nothing that matters to others.
    kUpdated,  ///< State, slots or service.
    kStarted,  ///< Another start: whatever ran before has ended.
    kIgnored,  ///< Late, foreign, or of a start that has left.
  };

  /// Takes over a report.
  Change OnReport(TimeMs now, const InstanceReport& report);
  /// The instance says that it leaves.
  Change OnDeregistered(TimeMs now, const std::string& id);
  /// Requests no longer reach it: it is unknown until it reports again.
  void OnLost() {
    if (state_ == InstanceState::kReady) state_ = InstanceState::kUnknown;
  }
  /// A health answer names the instance while no report has come yet.
  Change OnHealthy(TimeMs now, const std::string& id,
                   const std::string& service);

  InstanceState State() const { return state_; }
  const InstanceReport& Last() const { return last_; }
  /// When it last reported.
  TimeMs ReportedAt() const { return reported_at_; }

 private:
  std::string address_;
  InstanceState state_ = InstanceState::kUnknown;
  InstanceReport last_;
  TimeMs reported_at_{-1000000};
};

}  // namespace banyanloft

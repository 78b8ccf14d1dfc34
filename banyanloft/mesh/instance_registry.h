#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Heartbeat of a backend server.
struct InstanceReport {
  std::string id;             ///< Of the backend server; may survive a restart.
  int64_t start_time_ms = 0;  ///< Unix time of its start, in ms; 0: not given.
  int64_t sequence = 0;       ///< Increases with each report since its start.
  std::string service;
  std::string address;  ///< `ip:port` at which it accepts requests.
  int slots = 0;        ///< Its concurrency limit.
  bool draining = false;
  /// Remaining time for which it runs slowly after its start, in ms.
  int64_t warm_up_ms = 0;
};

/// State of the backend server on this instance.
enum class InstanceState : uint8_t {
  kUnknown,   ///< No report yet, or requests do not reach it.
  kReady,     ///< It accepts new requests.
  kDraining,  ///< It finishes running requests and starts no new ones.
  kGone,      ///< It has deregistered.
};

/// Name of a state as used in logs.
const char* NameOf(InstanceState state);

/// Tracks the backend server on this instance by its reports and by what its
/// responses say. Late reports and those of earlier starts are ignored.
/// Draining and deregistration are final until the backend server starts again,
/// also if this process started after the last report and knows the server from
/// a health check only. Deterministic; not thread safe.
class InstanceRegistry {
 public:
  /// `address`: reports with any other address are ignored.
  InstanceRegistry(std::string address, int64_t heartbeat_ms)
      : address_(std::move(address)), heartbeat_ms_(heartbeat_ms) {}

  /// Sets the expected period of reports, in ms.
  void SetHeartbeat(int64_t heartbeat_ms) { heartbeat_ms_ = heartbeat_ms; }

  /// Effect of a report.
  enum class Change : uint8_t {
    kNone,     ///< Nothing that peers need to know.
    kUpdated,  ///< State, slots or service changed.
    kStarted,  ///< The backend server restarted: earlier runs have ended.
    kIgnored,  ///< Late, for another address, or after deregistration.
  };

  Change OnReport(TimeMs now, const InstanceReport& report);
  /// The backend server deregistered.
  Change OnDeregistered(TimeMs now, const std::string& id);
  /// A response or a health check says that the server leaves.
  Change OnLeaving(TimeMs now);
  /// Requests no longer reach it: its state is unknown until it reports again
  /// or passes a health check.
  void OnUnreachable() {
    if (state_ == InstanceState::kReady) state_ = InstanceState::kUnknown;
  }
  /// A health check succeeded and returned this id. Has an effect only while
  /// the state is unknown.
  Change OnHealthy(TimeMs now, const std::string& id,
                   const std::string& service);

  InstanceState State() const { return state_; }
  /// Whether only a health check can soon show that the server is in service.
  bool NeedsHealthCheck() const {
    return state_ == InstanceState::kUnknown && !confirmed_;
  }
  const InstanceReport& Last() const { return last_; }
  /// Number of starts of a server that replaced a known one. A response belongs
  /// to the present server if this has not changed since its request was sent.
  uint64_t Starts() const { return starts_; }
  /// Time of the last report, deregistration or effective health check.
  TimeMs ReportedAt() const { return reported_at_; }

 private:
  bool IsKnownByHealthCheckOnly() const;
  bool PrecedesLeaving(TimeMs now, const InstanceReport& report) const;

  std::string address_;
  int64_t heartbeat_ms_;  ///< Expected period of reports, in ms.
  InstanceState state_ = InstanceState::kUnknown;
  InstanceReport last_;
  uint64_t starts_ = 0;
  /// A second report, a new start or a health check showed that the server is
  /// in service. Until then a first report may be older than its leaving, which
  /// an earlier process acknowledged.
  bool confirmed_ = false;
  TimeMs reported_at_{-1000000};
};

}  // namespace banyanloft

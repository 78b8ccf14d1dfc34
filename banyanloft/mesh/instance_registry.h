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
  std::string version;  ///< Of its program; empty: not given.
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

/// Settings of InstanceRegistry.
struct InstanceRegistrySettings {
  std::string address;          ///< Reports with any other are ignored.
  int64_t heartbeat_ms = 1500;  ///< Expected period of reports, in ms.
  /// Longest time between the sending of a report and its arrival, in ms.
  int64_t max_report_delay_ms = 10000;
};

/// Tracks the backend server on this instance by its reports and by what its
/// responses say. Late reports and those of earlier starts are ignored.
/// Draining and deregistration are final until the backend server starts again.
/// That includes what an earlier process acknowledged, of which this process
/// knows nothing: it takes the server for ready only once a health check
/// succeeds, or a report arrives that must have been sent since its own start.
/// Deterministic; not thread safe.
class InstanceRegistry {
 public:
  /// `now`: start of this process.
  InstanceRegistry(const InstanceRegistrySettings& settings, TimeMs now)
      : settings_(settings), unconfirmed_since_(now) {}

  /// Sets the expected period of reports, in ms.
  void SetHeartbeat(int64_t heartbeat_ms) {
    settings_.heartbeat_ms = heartbeat_ms;
  }

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

  void RequireConfirmation(TimeMs now);

  InstanceRegistrySettings settings_;
  InstanceState state_ = InstanceState::kUnknown;
  InstanceReport last_;
  uint64_t starts_ = 0;
  /// The server was in service at some time since unconfirmed_since_. Until
  /// that is known, any report may be older than an acknowledged leaving.
  bool confirmed_ = false;
  TimeMs unconfirmed_since_;
  TimeMs reported_at_{-1000000};
};

}  // namespace banyanloft

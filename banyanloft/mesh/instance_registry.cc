#include "banyanloft/mesh/instance_registry.h"

#include <array>

namespace banyanloft {

const char* NameOf(InstanceState state) {
  constexpr std::array<const char*, 4> kNames = {"unknown", "ready", "draining",
                                                 "gone"};
  return kNames[static_cast<size_t>(state)];
}

/// Whether a report is a late one of the server that leaves or has
/// deregistered, although this process does not know when that server started,
/// and perhaps not its id. A server that started afterwards would have sent
/// fewer reports by now.
bool InstanceRegistry::PrecedesLeaving(TimeMs now,
                                       const InstanceReport& report) const {
  constexpr int64_t kMaxReportsPerHeartbeat = 2;
  bool left =
      state_ == InstanceState::kGone || state_ == InstanceState::kDraining;
  bool start_unknown = last_.start_time_ms == 0;
  bool other = !last_.id.empty() && report.id != last_.id;
  if (!left || !start_unknown || other) return false;
  int64_t max_reports = 1 + (now - reported_at_) * kMaxReportsPerHeartbeat /
                                settings_.heartbeat_ms;
  return report.sequence > max_reports;
}

/// Whether the server accepts requests but its start is unknown: its first
/// report completes what the health check told and is no sign of a restart.
bool InstanceRegistry::IsKnownByHealthCheckOnly() const {
  return last_.start_time_ms == 0 && last_.sequence == 0 &&
         state_ == InstanceState::kReady;
}

/// If the start of the known server is unknown, a report that is older cannot
/// be told from one of a server that started afterwards.
void InstanceRegistry::RequireConfirmation(TimeMs now) {
  if (last_.start_time_ms != 0) return;
  confirmed_ = false;
  unconfirmed_since_ = now;
}

InstanceRegistry::Change InstanceRegistry::OnReport(
    TimeMs now, const InstanceReport& report) {
  if (report.address != settings_.address) return Change::kIgnored;
  if (PrecedesLeaving(now, report)) {
    last_.id = report.id;
    last_.start_time_ms = report.start_time_ms;
    last_.sequence = report.sequence;
    confirmed_ = true;  // Its start is known now.
    return Change::kIgnored;
  }
  bool same_start =
      report.id == last_.id && (report.start_time_ms == last_.start_time_ms ||
                                IsKnownByHealthCheckOnly());
  if (same_start) {
    if (report.sequence <= last_.sequence) return Change::kIgnored;
    if (state_ == InstanceState::kGone) return Change::kIgnored;
  } else if (report.start_time_ms < last_.start_time_ms) {
    return Change::kIgnored;
  }

  bool was_known = !last_.id.empty();
  // Either may be the later start.
  if (was_known && !same_start) RequireConfirmation(now);
  reported_at_ = now;
  InstanceReport before = last_;
  InstanceState state_before = state_;
  last_ = report;
  // Draining is final until the backend server starts again.
  bool stays_draining = same_start && state_ == InstanceState::kDraining;
  bool sent_since = now - unconfirmed_since_ > settings_.max_report_delay_ms;
  confirmed_ = confirmed_ || sent_since;
  if (report.draining || stays_draining) {
    state_ = InstanceState::kDraining;
  } else {
    state_ = confirmed_ ? InstanceState::kReady : InstanceState::kUnknown;
  }
  if (was_known && !same_start) {
    ++starts_;
    return Change::kStarted;
  }
  bool same = was_known && state_ == state_before &&
              before.slots == last_.slots && before.service == last_.service &&
              before.version == last_.version;
  return same ? Change::kNone : Change::kUpdated;
}

InstanceRegistry::Change InstanceRegistry::OnDeregistered(
    TimeMs now, const std::string& id) {
  if (!last_.id.empty() && id != last_.id) return Change::kIgnored;
  last_.id = id;
  reported_at_ = now;
  bool changed = state_ != InstanceState::kGone;
  state_ = InstanceState::kGone;
  RequireConfirmation(now);
  return changed ? Change::kUpdated : Change::kNone;
}

InstanceRegistry::Change InstanceRegistry::OnLeaving(TimeMs now) {
  bool leaves =
      state_ == InstanceState::kGone || state_ == InstanceState::kDraining;
  if (leaves) return Change::kNone;
  reported_at_ = now;
  state_ = InstanceState::kDraining;
  RequireConfirmation(now);
  return Change::kUpdated;
}

InstanceRegistry::Change InstanceRegistry::OnHealthy(
    TimeMs now, const std::string& id, const std::string& service) {
  if (state_ != InstanceState::kUnknown) return Change::kNone;
  if (!last_.id.empty() && last_.id != id) {
    // The backend server restarted; its own reports supply the rest.
    last_ = InstanceReport();
    ++starts_;
  }
  confirmed_ = true;
  last_.id = id;
  last_.address = settings_.address;
  if (last_.service.empty()) last_.service = service;
  reported_at_ = now;
  state_ = InstanceState::kReady;
  return Change::kUpdated;
}

}  // namespace banyanloft

#include "banyanloft/mesh/backend_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>

namespace banyanloft {
namespace {

/// Length from which a body is long. The memory of shorter ones is bounded by
/// the number of requests.
constexpr size_t kMinLongBodyBytes = 16 * 1024;

std::string HexOf(const std::vector<uint64_t>& fingerprints) {
  return fmt::format("{:016x}", fmt::join(fingerprints, ","));
}

/// Error kind of a result other than kAnswered.
ErrorKind ErrorOfResult(RunResult::Type type) {
  switch (type) {
    case RunResult::Type::kRejected:
      return ErrorKind::kBackendShed;
    case RunResult::Type::kMisplaced:
    case RunResult::Type::kNotSent:
      return ErrorKind::kBackendUnavailable;
    case RunResult::Type::kResetUnsent:
      return ErrorKind::kOverloaded;
    case RunResult::Type::kInvalid:
      return ErrorKind::kMalformedRequest;
    case RunResult::Type::kTimeout:
      return ErrorKind::kTimeout;
    case RunResult::Type::kCancelled:
      return ErrorKind::kCancelled;
    case RunResult::Type::kAnswered:
    case RunResult::Type::kBroken:
    case RunResult::Type::kGarbled:
    case RunResult::Type::kOversized:
      break;
  }
  return ErrorKind::kBackendBroken;
}

bool IsKnownNotRun(RunResult::Type type) {
  return type == RunResult::Type::kRejected ||
         type == RunResult::Type::kMisplaced ||
         type == RunResult::Type::kNotSent ||
         type == RunResult::Type::kResetUnsent ||
         type == RunResult::Type::kInvalid;
}

InstanceRegistrySettings RegistrySettings(
    const BackendRunnerSettings& settings) {
  InstanceRegistrySettings registry;
  registry.address = settings.address;
  registry.heartbeat_ms = settings.heartbeat_ms;
  return registry;
}

/// Counts all work beyond the classes of the earlier version in its last one.
void MergeClasses(TargetLoad* load) {
  std::fill(load->ahead.begin() + kRouteClasses - 1, load->ahead.end(),
            load->ahead.back());
}

std::string TextOf(const std::optional<double>& limit_per_s) {
  return limit_per_s ? fmt::format("{:.6g}", *limit_per_s) : "none";
}

}  // namespace

const char* NameOf(RunResult::Type type) {
  constexpr std::array<const char*, 11> kNames = {
      "answered",     "rejected", "misplaced", "not_sent",
      "reset_unsent", "invalid",  "broken",    "garbled",
      "oversized",    "timeout",  "cancelled"};
  return kNames[static_cast<size_t>(type)];
}

BackendRunner::BackendRunner(const BackendRunnerSettings& settings,
                             uint64_t seed, TimeMs now)
    : settings_(settings),
      random_(seed),
      start_(now),
      registry_(RegistrySettings(settings), now),
      admission_(settings.admission),
      slot_ramp_(settings.slot_ramp, now),
      crash_guard_(settings.crash_guard),
      lost_runs_(settings.lost_runs),
      next_probe_(now) {
  admission_.AwaitRateLimit(settings.runs_before_first_response);
  UpdateSlotLimit(now);
}

const std::string& BackendRunner::Service() const {
  const std::string& reported = registry_.Last().service;
  return reported.empty() ? settings_.service : reported;
}

bool BackendRunner::OnForwardBegins(TimeMs now, const std::string& from_link,
                                    ForwardRequest request, size_t body_bytes,
                                    Actions* actions) {
  size_t held_bytes = LongBodyBytes() + ArrivingBytes();
  if (held_bytes == 0 || held_bytes + body_bytes <= settings_.max_body_bytes) {
    arriving_[ForwardOrigin{from_link, request.attempt}] = {
        body_bytes, now + request.remaining_ms};
    return true;
  }
  uint64_t id = AddWork(now, from_link, std::move(request));
  Refuse(now, id, ErrorKind::kOverloaded, 0, 0, actions);
  return false;
}

uint64_t BackendRunner::AddWork(TimeMs now, const std::string& from_link,
                                ForwardRequest request) {
  counters_.Add("runs_offered_total");
  uint64_t id = next_work_++;
  Work& work = works_[id];
  work.from = ForwardOrigin{from_link, request.attempt};
  work.arrived = now;
  work.deadline = now + request.remaining_ms;
  work.fingerprint = RequestFingerprint(request.target, request.body);
  work.request = std::move(request);
  work_by_origin_[work.from] = id;
  return id;
}

void BackendRunner::OnForward(TimeMs now, const std::string& from_link,
                              ForwardRequest request, Actions* actions) {
  uint64_t id = AddWork(now, from_link, std::move(request));
  const Work& work = works_.at(id);
  bool fits = arriving_.erase(work.from) > 0 || !ExceedsMemory(work.request);
  std::optional<ErrorKind> error = CheckNew(now, work);
  if (!error && !fits) error = ErrorKind::kOverloaded;
  if (error) {
    bool crash = error == ErrorKind::kCrashSuspect;
    return Refuse(now, id, *error, crash ? settings_.crash_retry_after_ms : 0,
                  0, actions);
  }
  AdmissionRequest offer;
  offer.id = id;
  offer.urgency = UrgencyOf(work.request.priority);
  offer.route = work.request.route;
  offer.aim_left_ms = work.request.aim_left_ms;
  offer.account = work.request.account;
  offer.deadline = work.deadline;
  offer.cost_ms = speed_.ExpectedMs(now, work.request.expected_run_ms);
  offer.exclusive = crash_guard_.Check(now, work.fingerprint) ==
                    CrashGuard::Verdict::kExclusive;
  if (MovesOn(now, work.request, offer)) {
    counters_.Add("runs_moved_on_total");
    return AnswerRefusal(now, id, ErrorKind::kOverloaded, 0, actions);
  }
  AdmissionController::Decisions decisions;
  admission_.Offer(now, std::move(offer), &decisions);
  ApplyDecisions(now, decisions, actions);
}

/// Whether another target is expected to finish the request earlier.
bool BackendRunner::MovesOn(TimeMs now, const ForwardRequest& request,
                            AdmissionRequest offer) const {
  if (request.max_wait_ms < 0) return false;
  offer.due = now + offer.aim_left_ms;
  return admission_.ExpectedWaitMs(now, offer) > request.max_wait_ms;
}

std::optional<ErrorKind> BackendRunner::CheckNew(TimeMs now,
                                                 const Work& work) const {
  bool starts = accepting_ && FinishesBeforeStop(now, work.request.route);
  if (!starts) return ErrorKind::kDraining;
  switch (registry_.State()) {
    case InstanceState::kUnknown:
      return ErrorKind::kBackendUnavailable;
    case InstanceState::kDraining:
    case InstanceState::kGone:
      return ErrorKind::kDraining;
    case InstanceState::kReady:
      break;
  }
  if (work.request.service != Service()) return ErrorKind::kNoTarget;
  if (version_refused_) return ErrorKind::kNoTarget;
  bool crashes =
      crash_guard_.Check(now, work.fingerprint) == CrashGuard::Verdict::kRefuse;
  if (crashes) return ErrorKind::kCrashSuspect;
  return std::nullopt;
}

/// Whether the bodies of all requests, of which `request` is one, exceed the
/// limit.
bool BackendRunner::ExceedsMemory(const ForwardRequest& request) const {
  // Requests without a long body are not worth the sum.
  if (request.body.size() < kMinLongBodyBytes) return false;
  size_t bytes = ArrivingBytes();
  for (const auto& [id, work] : works_) bytes += work.request.body.size();
  return bytes > request.body.size() && bytes > settings_.max_body_bytes;
}

/// Memory of the long bodies that have arrived.
size_t BackendRunner::LongBodyBytes() const {
  size_t bytes = 0;
  for (const auto& [id, work] : works_) {
    size_t size = work.request.body.size();
    if (size >= kMinLongBodyBytes) bytes += size;
  }
  return bytes;
}

/// Memory that the long bodies that are arriving take in the end.
size_t BackendRunner::ArrivingBytes() const {
  size_t bytes = 0;
  for (const auto& [origin, body] : arriving_) bytes += body.bytes;
  return bytes;
}

bool BackendRunner::FinishesBeforeStop(TimeMs now,
                                       const std::string& route) const {
  if (!stop_at_) return true;
  constexpr int64_t kPermille = 1000;
  int64_t run_ms = admission_.MeanRunMs(now, route) *
                   settings_.admission.run_margin_permille / kPermille;
  return now + run_ms <= *stop_at_;
}

/// Refuses queued requests that would be cut by the end of a planned stop if
/// they started now, so that other targets may run them.
void BackendRunner::RefuseUnfinishable(TimeMs now, Actions* actions) {
  std::vector<uint64_t> refused;
  for (const auto& [id, work] : works_) {
    bool unfinishable =
        !work.running && !FinishesBeforeStop(now, work.request.route);
    if (unfinishable && admission_.Withdraw(id)) refused.push_back(id);
  }
  for (uint64_t id : refused)
    Refuse(now, id, ErrorKind::kDraining, 0, 0, actions);
}

void BackendRunner::ApplyDecisions(
    TimeMs now, const AdmissionController::Decisions& decisions,
    Actions* actions) {
  for (const AdmissionDecision& decision : decisions) {
    if (decision.type == AdmissionDecision::Type::kRefuse) {
      if (decision.tier > 0) counters_.Add("runs_over_share_refused_total");
      if (decision.displaced) {
        const ForwardRequest& request = works_.at(decision.id).request;
        counters_.Add("runs_displaced_total");
        actions->push_back(
            LogRecord{LogLevel::kInfo,
                      "run_displaced",
                      {{"request", request.request_id},
                       {"account", request.account},
                       {"tier", std::to_string(decision.tier)}}});
      }
      Refuse(now, decision.id, decision.error, decision.retry_after_ms,
             decision.expected_wait_ms, actions);
      continue;
    }
    Work& work = works_.at(decision.id);
    work.running = true;
    work.started = now;
    work.server_start = registry_.Starts();
    counters_.Add("runs_started_total");
    ++runs_started_;
    LogSuspectStart(now, work, actions);
    histograms_.Add("queue_ms", work.request.route,
                    UrgencyOf(work.request.priority), now - work.arrived);
    StartRun start;
    start.run = decision.id;
    start.instance = registry_.Last().id;
    start.remaining_ms = std::max<int64_t>(1, work.deadline - now);
    start.request = work.request;
    actions->push_back(std::move(start));
  }
}

void BackendRunner::Refuse(TimeMs now, uint64_t id, ErrorKind error,
                           int64_t retry_after_ms, int64_t expected_wait_ms,
                           Actions* actions) {
  const Work& work = works_.at(id);
  counters_.Add("run_refusals_total", std::string(NameOf(error)));
  actions->push_back(LogRecord{
      LogLevel::kInfo,
      "run_refused",
      {{"request", work.request.request_id},
       {"error", std::string(NameOf(error))},
       {"account", work.request.account},
       {"fingerprint", HexOf({work.fingerprint})},
       {"instance", registry_.Last().id},
       {"instance_state", NameOf(registry_.State())},
       {"urgency", std::to_string(UrgencyOf(work.request.priority))},
       {"cost_ms",
        std::to_string(admission_.MeanRunMs(now, work.request.route))},
       {"running", std::to_string(admission_.Running())},
       {"waiting", std::to_string(admission_.Waiting())},
       {"limit_per_s", TextOf(admission_.RateLimit())},
       {"expected_wait_ms", std::to_string(expected_wait_ms)},
       {"waited_ms", std::to_string(now - work.arrived)},
       {"retry_after_ms", std::to_string(retry_after_ms)}}});
  AnswerRefusal(now, id, error, retry_after_ms, actions);
}

void BackendRunner::AnswerRefusal(TimeMs now, uint64_t id, ErrorKind error,
                                  int64_t retry_after_ms, Actions* actions) {
  const Work& work = works_.at(id);
  ForwardAnswer answer;
  answer.run_state = RunState::kNotRun;
  answer.error = error;
  answer.retry_after_ms = retry_after_ms;
  answer.waited_ms = now - work.arrived;
  Answer(now, id, std::move(answer), actions);
  Drop(now, id, actions);
}

void BackendRunner::Answer(TimeMs now, uint64_t id, ForwardAnswer answer,
                           Actions* actions) {
  const Work& work = works_.at(id);
  if (work.abandoned) return;
  answer.attempt = work.from.attempt;
  answer.load = admission_.Load(now, id);
  answer.load.slowness_permille = speed_.SlownessPermille(now);
  // The earlier version, which has no accounts, reads only the first classes.
  bool may_be_earlier = !work.from.link.empty() && work.request.account.empty();
  if (may_be_earlier) MergeClasses(&answer.load);
  actions->push_back(
      SendForwardAnswer{work.from, work.request.priority, std::move(answer)});
}

void BackendRunner::Drop(TimeMs, uint64_t id, Actions*) {
  auto it = works_.find(id);
  if (!it->second.abandoned) work_by_origin_.erase(it->second.from);
  works_.erase(it);
}

void BackendRunner::OnResult(TimeMs now, RunResult result, Actions* actions) {
  auto it = works_.find(result.run);
  if (it == works_.end()) return;
  Work& work = it->second;
  if (result.notice && work.server_start == registry_.Starts()) {
    OnNotice(now, *result.notice, "run", actions);
  } else if (!result.notice) {
    admission_.OnNoResponse();
  }
  if (result.notice) {
    lost_runs_.OnResponse(work.started);
    reset_probes_ = 0;
    bool present = work.server_start == registry_.Starts();
    if (present) lost_runs_.OnAnswered(now, work.started);
  }
  bool answered = result.type == RunResult::Type::kAnswered;
  int64_t run_ms = answered ? now - work.started : -1;
  if (answered) speed_.Add(now, run_ms, work.request.expected_run_ms);
  counters_.Add("run_results_total", NameOf(result.type));
  histograms_.Add("run_ms", work.request.route,
                  UrgencyOf(work.request.priority), now - work.started);
  if (!answered && result.type != RunResult::Type::kCancelled) {
    actions->push_back(
        LogRecord{LogLevel::kWarning,
                  "run_failed",
                  {{"request", work.request.request_id},
                   {"fingerprint", HexOf({work.fingerprint})},
                   {"result", NameOf(result.type)},
                   {"status", std::to_string(result.response.status)},
                   {"instance", registry_.Last().id},
                   {"run_ms", std::to_string(now - work.started)}}});
  }
  if (answered) {
    std::vector<CrashSuspicion> cleared =
        crash_guard_.OnSuccess(now, work.fingerprint);
    if (!cleared.empty())
      actions->push_back(SpreadCrashSuspicions{std::move(cleared), false});
  }

  if (observes_runs_)
    Observe(now, work, result.type, result.response.status, actions);
  ForwardAnswer answer;
  answer.arrived = result.type != RunResult::Type::kNotSent &&
                   result.type != RunResult::Type::kResetUnsent &&
                   result.type != RunResult::Type::kInvalid;
  if (result.type == RunResult::Type::kResetUnsent)
    answer.retry_after_ms = settings_.full_retry_after_ms;
  answer.run_ms = run_ms;
  answer.waited_ms = work.started - work.arrived;
  if (answered) {
    answer.run_state = RunState::kRan;
    answer.response = std::move(result.response);
  } else {
    answer.error = ErrorOfResult(result.type);
    answer.run_state =
        IsKnownNotRun(result.type) ? RunState::kNotRun : RunState::kUnknown;
  }
  uint64_t fingerprint = work.fingerprint;
  Answer(now, result.run, std::move(answer), actions);
  Drop(now, result.run, actions);
  RecordLostRun(now, result.type, fingerprint, actions);
  // Before the slot is released: queued requests would fail in the same way.
  bool lost = result.type == RunResult::Type::kNotSent ||
              result.type == RunResult::Type::kMisplaced;
  if (lost) {
    MarkInstanceUnreachable(now, actions);
    Probe(now, actions);
  }
  if (result.type == RunResult::Type::kResetUnsent) Probe(now, actions);
  bool broken = result.type == RunResult::Type::kBroken ||
                result.type == RunResult::Type::kResetUnsent;
  if (answered) slot_ramp_.OnAnswered();
  if (broken) slot_ramp_.OnBroken(admission_.Slots());
  UpdateSlotLimit(now);
  AdmissionController::Decisions decisions;
  admission_.Finish(now, result.run, run_ms, &decisions);
  ApplyDecisions(now, decisions, actions);
}

/// Requests no longer reach the backend server. Queued requests are refused, so
/// that other targets may answer them in time.
void BackendRunner::MarkInstanceUnreachable(TimeMs now, Actions* actions) {
  if (registry_.State() != InstanceState::kReady) return;
  registry_.OnUnreachable();
  LogInstance(now, "instance_lost", "connection", actions);
  AdmissionController::Decisions decisions;
  admission_.RefuseAll(ErrorKind::kBackendUnavailable, &decisions);
  ApplyDecisions(now, decisions, actions);
}

void BackendRunner::OnCancel(TimeMs now, const std::string& from_link,
                             const CancelForward& cancel, Actions* actions) {
  auto found = work_by_origin_.find(ForwardOrigin{from_link, cancel.attempt});
  if (found == work_by_origin_.end()) return;
  uint64_t id = found->second;
  Work& work = works_.at(id);
  if (cancel.only_if_queued) {
    if (work.running || !admission_.Withdraw(id)) return;
    return Refuse(now, id, ErrorKind::kDraining, 0, 0, actions);
  }
  counters_.Add("runs_cancelled_total");
  work_by_origin_.erase(found);
  work.abandoned = true;
  if (!work.running) {
    admission_.Withdraw(id);
    works_.erase(id);
    return;
  }
  // A request that is not idempotent must not run twice, so a retry could not
  // complete a run that was cut off halfway: once any of the request has been
  // sent, the run finishes normally.
  actions->push_back(CancelRunOnBackend{id, !work.request.idempotent});
}

void BackendRunner::RefuseQueued(TimeMs now, Actions* actions) {
  AdmissionController::Decisions decisions;
  admission_.RefuseAll(ErrorKind::kDraining, &decisions);
  ApplyDecisions(now, decisions, actions);
}

void BackendRunner::SetVersionRefused(bool refused, Actions* actions,
                                      TimeMs now) {
  if (refused == version_refused_) return;
  version_refused_ = refused;
  counters_.Add("rollout_refusal_changes_total", refused ? "on" : "off");
  if (!refused) return;
  AdmissionController::Decisions decisions;
  admission_.RefuseAll(ErrorKind::kNoTarget, &decisions);
  ApplyDecisions(now, decisions, actions);
}

/// Tells how a run ended as far as it says something about the server's
/// version: not if the request never reached it. A cancelled run took at least
/// the time until then.
void BackendRunner::Observe(TimeMs now, const Work& work, RunResult::Type type,
                            int status, Actions* actions) const {
  constexpr int kServerError = 500;
  using Outcome = RolloutRecorder::Outcome;
  RunObserved observed;
  switch (type) {
    case RunResult::Type::kNotSent:
    case RunResult::Type::kResetUnsent:
    case RunResult::Type::kMisplaced:
    case RunResult::Type::kInvalid:
      return;
    case RunResult::Type::kAnswered:
      if (status >= kServerError) observed.outcome = Outcome::kFailure;
      break;
    case RunResult::Type::kCancelled:
      break;
    case RunResult::Type::kRejected:
    case RunResult::Type::kBroken:
      observed.outcome = Outcome::kBroken;
      break;
    case RunResult::Type::kGarbled:
    case RunResult::Type::kOversized:
    case RunResult::Type::kTimeout:
      observed.outcome = Outcome::kFailure;
      break;
  }
  observed.route = work.request.route;
  observed.run_ms = now - work.started;
  observed.warm =
      work.started >= registry_.ReportedAt() + registry_.Last().warm_up_ms;
  actions->push_back(std::move(observed));
}

void BackendRunner::OnPeerLost(TimeMs now, const std::string& link,
                               Actions* actions) {
  auto arriving = arriving_.lower_bound(ForwardOrigin{link, 0});
  while (arriving != arriving_.end() && arriving->first.link == link)
    arriving = arriving_.erase(arriving);
  std::vector<uint64_t> attempts;
  for (auto it = work_by_origin_.lower_bound(ForwardOrigin{link, 0});
       it != work_by_origin_.end() && it->first.link == link; ++it)
    attempts.push_back(it->first.attempt);
  for (uint64_t attempt : attempts)
    OnCancel(now, link, CancelForward{attempt}, actions);
}

void BackendRunner::OnReport(TimeMs now, const InstanceReport& report,
                             Actions* actions) {
  if (report.slots > 0) admission_.SetSlots(report.slots);
  if (report.sequence <= settings_.max_young_reports) slot_ramp_.End();
  UpdateSlotLimit(now);
  InstanceState before = registry_.State();
  uint64_t starts = registry_.Starts();
  InstanceRegistry::Change change = registry_.OnReport(now, report);
  if (registry_.Starts() != starts) OnRestart(now, before, actions);
  OnInstanceChange(now, change, "report", actions);
  if (change == InstanceRegistry::Change::kIgnored)
    LogIgnoredReport(report, actions);
  if (!registry_.NeedsHealthCheck()) return;
  // A server that reports can also answer.
  next_probe_ = now;
  Probe(now, actions);
}

void BackendRunner::OnDeregistered(TimeMs now, const std::string& instance,
                                   Actions* actions) {
  OnInstanceChange(now, registry_.OnDeregistered(now, instance),
                   "deregistration", actions);
}

void BackendRunner::OnInstanceChange(TimeMs now,
                                     InstanceRegistry::Change change,
                                     const char* source, Actions* actions) {
  switch (change) {
    case InstanceRegistry::Change::kNone:
      return;
    case InstanceRegistry::Change::kIgnored:
      counters_.Add("instance_reports_ignored_total");
      return;
    case InstanceRegistry::Change::kStarted:
      slot_ramp_.End();
      UpdateSlotLimit(now);
      LogInstance(now, "instance_started", source, actions);
      SetRateLimit(now, std::nullopt, actions);
      break;
    case InstanceRegistry::Change::kUpdated:
      LogInstance(now, "instance_changed", source, actions);
      break;
  }
  if (!IsLeaving(registry_.State())) return;
  AdmissionController::Decisions decisions;
  admission_.RefuseAll(ErrorKind::kDraining, &decisions);
  ApplyDecisions(now, decisions, actions);
}

void BackendRunner::LogInstance(TimeMs now, const char* event,
                                const char* source, Actions* actions) {
  const InstanceReport& instance = registry_.Last();
  actions->push_back(
      LogRecord{LogLevel::kInfo,
                event,
                {{"instance", instance.id},
                 {"state", NameOf(registry_.State())},
                 {"source", source},
                 {"service", Service()},
                 {"slots", std::to_string(instance.slots)},
                 {"born_ms", std::to_string(instance.start_time_ms)},
                 {"sequence", std::to_string(instance.sequence)},
                 {"since_start_ms", std::to_string(now - start_)}}});
}

void BackendRunner::LogIgnoredReport(const InstanceReport& report,
                                     Actions* actions) {
  actions->push_back(LogRecord{
      LogLevel::kInfo,
      "instance_report_ignored",
      {{"instance", report.id},
       {"address", report.address},
       {"born_ms", std::to_string(report.start_time_ms)},
       {"sequence", std::to_string(report.sequence)},
       {"draining", report.draining ? "true" : "false"},
       {"state", NameOf(registry_.State())},
       {"known_instance", registry_.Last().id},
       {"known_sequence", std::to_string(registry_.Last().sequence)},
       {"known_born_ms", std::to_string(registry_.Last().start_time_ms)}}});
}

/// Logs the result of a health check if it differs from that of the last one.
void BackendRunner::LogHealthCheck(const ProbeResult& result,
                                   Actions* actions) {
  std::string health = result.reset               ? "reset"
                       : !result.up               ? "unreachable"
                       : !result.instance.empty() ? "healthy"
                       : result.status == 0       ? "timeout"
                                                  : "unhealthy";
  if (health == last_health_) return;
  actions->push_back(LogRecord{LogLevel::kInfo,
                               "instance_health_check",
                               {{"instance", registry_.Last().id},
                                {"result", health},
                                {"before", last_health_},
                                {"status", std::to_string(result.status)},
                                {"state", NameOf(registry_.State())}}});
  last_health_ = std::move(health);
}

void BackendRunner::Probe(TimeMs now, Actions* actions) {
  if (probing_ || now < next_probe_) return;
  probing_ = true;
  probed_at_ = now;
  probed_start_ = registry_.Starts();
  next_probe_ = now + settings_.probe_interval_ms;
  counters_.Add("instance_probes_total");
  actions->push_back(ProbeInstance{});
}

void BackendRunner::OnProbed(TimeMs now, const ProbeResult& result,
                             Actions* actions) {
  probing_ = false;
  LogHealthCheck(result, actions);
  const std::string& instance = result.instance;
  if (result.notice && probed_start_ == registry_.Starts())
    OnNotice(now, *result.notice, "health_check", actions);
  reset_probes_ = result.reset ? reset_probes_ + 1 : 0;
  if (result.reset && MayBeFull(now)) {
    counters_.Add("instance_probes_reset_total");
    return;
  }
  reset_probes_ = 0;
  if (!result.up) {
    OnUnreachable(now, actions);
    return MarkInstanceUnreachable(now, actions);
  }
  if (instance.empty()) return;
  InstanceState before = registry_.State();
  uint64_t starts = registry_.Starts();
  bool other = !registry_.Last().id.empty() && registry_.Last().id != instance;
  if (other) registry_.OnUnreachable();
  InstanceRegistry::Change change =
      registry_.OnHealthy(now, instance, settings_.service);
  if (registry_.Starts() != starts) OnRestart(now, before, actions);
  OnInstanceChange(now, change, "health_check", actions);
}

void BackendRunner::OnNotice(TimeMs now, const BackendNotice& notice,
                             const char* source, Actions* actions) {
  noticed_at_ = now;
  if (notice.malformed_limit.empty()) {
    ApplyLimit(now, notice.limit_per_s, source, actions);
  } else {
    counters_.Add("backend_limits_malformed_total");
    actions->push_back(LogRecord{
        LogLevel::kWarning,
        "instance_limit_malformed",
        {{"instance", registry_.Last().id}, {"text", notice.malformed_limit}}});
  }
  if (notice.leaving) ApplyLeaving(now, source, actions);
}

void BackendRunner::ApplyLimit(TimeMs now, std::optional<double> per_s,
                               const char* source, Actions* actions) {
  std::optional<double> before = admission_.RateLimit();
  if (per_s != before) {
    counters_.Add("backend_limit_changes_total");
    actions->push_back(
        LogRecord{LogLevel::kInfo,
                  "instance_limit",
                  {{"instance", registry_.Last().id},
                   {"limit_per_s", TextOf(per_s)},
                   {"before", TextOf(before)},
                   {"source", source},
                   {"runs_started", std::to_string(runs_started_)},
                   {"running", std::to_string(admission_.Running())},
                   {"waiting", std::to_string(admission_.Waiting())}}});
  }
  SetRateLimit(now, per_s, actions);
}

void BackendRunner::ApplyLeaving(TimeMs now, const char* source,
                                 Actions* actions) {
  InstanceRegistry::Change change = registry_.OnLeaving(now);
  if (change == InstanceRegistry::Change::kUpdated) {
    counters_.Add("backend_leaving_notices_total");
    actions->push_back(
        LogRecord{LogLevel::kInfo,
                  "instance_leaving",
                  {{"instance", registry_.Last().id}, {"source", source}}});
  }
  OnInstanceChange(now, change, source, actions);
}

void BackendRunner::SetRateLimit(TimeMs now, std::optional<double> per_s,
                                 Actions* actions) {
  AdmissionController::Decisions decisions;
  admission_.SetRateLimit(now, per_s, &decisions);
  ApplyDecisions(now, decisions, actions);
}

/// A broken run may mean a crash, which a health check or a restart confirms;
/// an unanswered one means a crash only if the backend server restarts.
void BackendRunner::RecordLostRun(TimeMs now, RunResult::Type type,
                                  uint64_t fingerprint, Actions* actions) {
  bool unanswered =
      type == RunResult::Type::kTimeout || type == RunResult::Type::kCancelled;
  if (unanswered) return lost_runs_.OnUnanswered(now, fingerprint);
  if (type != RunResult::Type::kBroken) return;
  lost_runs_.OnBroken(now, fingerprint);
  Probe(now, actions);
}

/// A server that leaves closes its connections without a crash.
bool BackendRunner::IsLeaving(InstanceState state) {
  return state == InstanceState::kDraining || state == InstanceState::kGone;
}

void BackendRunner::OnUnreachable(TimeMs now, Actions* actions) {
  if (!IsLeaving(registry_.State()))
    RecordCrash(now, lost_runs_.TakeBroken(now), actions);
}

/// The backend server has restarted: runs of its earlier start that have no
/// response by now were in progress when it ended.
void BackendRunner::OnRestart(TimeMs now, InstanceState before,
                              Actions* actions) {
  if (IsLeaving(before)) return lost_runs_.Clear();
  std::vector<uint64_t> fingerprints = lost_runs_.TakeAll(now);
  for (const auto& [id, work] : works_) {
    bool earlier_start =
        work.running && work.server_start != registry_.Starts();
    if (earlier_start) fingerprints.push_back(work.fingerprint);
  }
  RecordCrash(now, std::move(fingerprints), actions);
}

void BackendRunner::RecordCrash(TimeMs now, std::vector<uint64_t> fingerprints,
                                Actions* actions) {
  if (fingerprints.empty()) return;
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()),
                     fingerprints.end());
  counters_.Add("backend_crashes_total");
  actions->push_back(
      LogRecord{LogLevel::kWarning,
                "instance_crashed",
                {{"instance", registry_.Last().id},
                 {"requests_broken", std::to_string(fingerprints.size())},
                 {"fingerprints", HexOf(fingerprints)}}});
  std::vector<CrashSuspicion> suspicions =
      crash_guard_.OnCrash(now, random_.Bits(), fingerprints);
  if (suspicions.empty()) return;
  ReviewQueue(now, suspicions, actions);
  actions->push_back(SpreadCrashSuspicions{std::move(suspicions), true});
}

void BackendRunner::OnCrashSuspicions(
    TimeMs now, const char* source,
    const std::vector<CrashSuspicion>& suspicions, Actions* actions) {
  std::vector<CrashSuspicion> added = crash_guard_.Merge(now, suspicions);
  if (added.empty()) return;
  std::vector<uint64_t> refused;
  for (const CrashSuspicion& suspicion : added) {
    bool refuse = crash_guard_.Check(now, suspicion.fingerprint) ==
                  CrashGuard::Verdict::kRefuse;
    if (refuse) refused.push_back(suspicion.fingerprint);
  }
  counters_.Add("crash_suspicions_learned_total", source, added.size());
  actions->push_back(
      LogRecord{LogLevel::kInfo,
                "crash_suspicions_learned",
                {{"source", source},
                 {"count", std::to_string(added.size())},
                 {"tracked", std::to_string(crash_guard_.Size())},
                 {"refused", HexOf(refused)}}});
  ReviewQueue(now, added, actions);
  actions->push_back(SpreadCrashSuspicions{std::move(added), false});
}

/// Requests that wait are admitted by what was known when they arrived.
void BackendRunner::ReviewQueue(TimeMs now,
                                const std::vector<CrashSuspicion>& changed,
                                Actions* actions) {
  std::set<uint64_t> fingerprints;
  for (const CrashSuspicion& suspicion : changed)
    fingerprints.insert(suspicion.fingerprint);
  std::vector<uint64_t> refused;
  for (const auto& [id, work] : works_) {
    if (work.running || fingerprints.count(work.fingerprint) == 0) continue;
    CrashGuard::Verdict verdict = crash_guard_.Check(now, work.fingerprint);
    if (verdict == CrashGuard::Verdict::kExclusive)
      admission_.MakeExclusive(id);
    bool refuse =
        verdict == CrashGuard::Verdict::kRefuse && admission_.Withdraw(id);
    if (refuse) refused.push_back(id);
  }
  for (uint64_t id : refused)
    Refuse(now, id, ErrorKind::kCrashSuspect, settings_.crash_retry_after_ms, 0,
           actions);
}

/// A request that crashed servers is run: tells what was known of it.
void BackendRunner::LogSuspectStart(TimeMs now, const Work& work,
                                    Actions* actions) {
  int crashes = crash_guard_.Crashes(now, work.fingerprint);
  if (crashes == 0) return;
  counters_.Add("suspect_runs_started_total");
  actions->push_back(
      LogRecord{LogLevel::kInfo,
                "suspect_run_started",
                {{"request", work.request.request_id},
                 {"fingerprint", HexOf({work.fingerprint})},
                 {"crashes", std::to_string(crashes)},
                 {"waited_ms", std::to_string(now - work.arrived)}}});
}

void BackendRunner::OnProcessSuspended(TimeMs now, Actions* actions) {
  AdmissionController::Decisions decisions;
  admission_.RefuseAll(ErrorKind::kOverloaded, &decisions);
  ApplyDecisions(now, decisions, actions);
}

void BackendRunner::Tick(TimeMs now, Actions* actions) {
  if (stop_at_) RefuseUnfinishable(now, actions);
  UpdateSlotLimit(now);
  AdmissionController::Decisions decisions;
  admission_.Tick(now, &decisions);
  ApplyDecisions(now, decisions, actions);
  crash_guard_.Tick(now);
  for (auto it = arriving_.begin(); it != arriving_.end();)
    it = it->second.deadline <= now ? arriving_.erase(it) : std::next(it);

  if (MustProbe(now)) Probe(now, actions);
}

/// Whether a backend server that resets a health check is in service and full
/// rather than gone. A crash breaks all connections, so it runs as long as a
/// run of before the check has not ended. Beside runs of an earlier process,
/// all of the daemon's own may be reset.
bool BackendRunner::MayBeFull(TimeMs now) const {
  bool in_progress =
      std::any_of(works_.begin(), works_.end(), [&](const auto& entry) {
        const Work& work = entry.second;
        return work.running && work.started < probed_at_ &&
               work.server_start == registry_.Starts();
      });
  if (in_progress) return true;
  return slot_ramp_.Active(now) && reset_probes_ < settings_.max_reset_probes;
}

/// Leaves slots to runs that an earlier process may have started.
void BackendRunner::UpdateSlotLimit(TimeMs now) {
  admission_.LimitSlots(slot_ramp_.Limit(now, admission_.Slots()));
}

bool BackendRunner::MustProbe(TimeMs now) const {
  if (registry_.NeedsHealthCheck() || reset_probes_ > 0) return true;
  if (registry_.State() != InstanceState::kReady) return false;
  bool silent = now - registry_.ReportedAt() >
                settings_.heartbeat_ms * settings_.max_missed_reports;
  bool limit_is_old =
      admission_.RateLimit() && now - noticed_at_ > settings_.limit_refresh_ms;
  return silent || limit_is_old;
}

}  // namespace banyanloft

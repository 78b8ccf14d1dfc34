#include "soak/soak.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

#include "banyanloft/core/time.h"
#include "platform/wire_names.h"
#include "standins/mesh_configuration.h"

namespace banyanloft::soak {
namespace {

namespace wire = banyanloft::platform;

constexpr int64_t kTickMs = 5;
/// Time given to the daemons to start before the load does, in ms.
constexpr int64_t kStartupMs = 4500;
constexpr int64_t kClientTimeoutMs = 2000;
/// Bounds given by the requirements, in ms: time without faults after which a
/// daemon counts as stable ("in touch" in the report), time until a new version
/// is in force, recovery after the last fault, grace period after SIGTERM.
constexpr int64_t kStabilityMs = 3000;
constexpr int64_t kConfigPropagationMs = 2000;
constexpr int64_t kRecoveryMs = 15000;
constexpr int64_t kGraceMs = 6000;
constexpr int64_t kGraceSlackMs = 1000;
/// Service has recovered once this share of the requests in a window is served,
/// in 1/1000. The rest allows for responses that the backend stand-ins spoil.
constexpr int64_t kRecoveredPermille = 950;
constexpr int64_t kRecoveryWindowMs = 1500;
/// Time allowed until the outcome of a request is known, in ms.
constexpr int64_t kOutcomeDelayMs = 500;
constexpr int64_t kRestartMs = 300;
/// Time that a draining backend server keeps running, in ms.
constexpr int64_t kDrainStayMs = 3000;
constexpr int kAbortPermille = 10;
constexpr int64_t kAbortAfterMs = 30;
constexpr int64_t kCopyIntervalMs = 4000;  ///< Between copies of the store.
/// Limit that a backend server names, in requests per second: a fifth of its
/// share of the load.
constexpr double kBackendLimitPerSecond = 5;

constexpr int64_t kCrashingRequestIntervalMs = 1200;
constexpr int64_t kCrashDelayMs = 5;
constexpr int64_t kCrashedAwayMs = 2500;
/// Crashes by one request after which it must be contained, and runs that are
/// allowed later than kStabilityMs after them. Bounds given by the
/// requirements.
constexpr int kCrashesToContain = 3;
constexpr int kLateRunsAllowed = 3;
constexpr char kCrashingId[] = "crashing-";

std::string NewRoute(int version) { return fmt::format("/new-{}/", version); }

/// Every version adds one route to those of the version before.
Json ConfigurationOf(int version) {
  std::vector<Json> added_routes;
  for (int v = 2; v <= version; ++v)
    added_routes.push_back(
        MeshRoute(fmt::format("new-{}", v), "safe", NewRoute(v), "pledges"));
  return MeshConfiguration(version, added_routes);
}

FaultPlanSettings PlanSettingsOf(const SoakSettings& settings) {
  FaultPlanSettings plan;
  plan.seed = static_cast<uint64_t>(settings.seed);
  plan.daemons = static_cast<int>(settings.daemons);
  plan.span_ms = settings.span_ms;
  return plan;
}

Endpoint LoopbackEndpoint(int64_t port) {
  return {"127.0.0.1", static_cast<uint16_t>(port)};
}

ProxyFault ProxyFaultOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kDelayConnection:
      return ProxyFault::kDelay;
    case FaultKind::kResetConnection:
      return ProxyFault::kReset;
    case FaultKind::kStallConnection:
      return ProxyFault::kStall;
    case FaultKind::kStallConnectionUpstream:
      return ProxyFault::kStallUpstream;
    default:
      return ProxyFault::kStallDownstream;
  }
}

StoreFault StoreFaultOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kStoreDown:
    case FaultKind::kRestoreStore:
      return StoreFault::kUnavailable;
    case FaultKind::kStoreDropsResponses:
      return StoreFault::kDropsResponses;
    case FaultKind::kStoreSlow:
      return StoreFault::kSlow;
    default:
      return StoreFault::kThrottles;
  }
}

}  // namespace

Soak::Soak(boost::asio::io_context& io, const SoakSettings& settings)
    : io_(io),
      settings_(settings),
      plan_(MakePlan(PlanSettingsOf(settings))),
      random_(static_cast<uint64_t>(settings.seed) + 1),
      store_(io, LoopbackEndpoint(settings.base_port),
             static_cast<uint64_t>(settings.seed) + 2),
      tick_(io) {}

bool Soak::Start() {
  Result<Endpoint> store = store_.Start();
  if (ErrorOf(store) != nullptr) return false;
  store_.Put("config", "main", ConfigurationOf(version_));
  for (int i = 0; i < settings_.daemons; ++i) {
    InstanceSettings instance;
    instance.index = i;
    instance.service = i % 2 == 0 ? "catalogue" : "pledges";
    instance.program = settings_.program;
    instance.dir = settings_.dir;
    instance.first_port =
        settings_.base_port + (i + 1) * Instance::kPortsPerInstance;
    instance.store = LoopbackEndpoint(settings_.base_port);
    instance.grace_ms = kGraceMs;
    instances_.push_back(std::make_unique<Instance>(io_, instance, this));
    if (!instances_.back()->Start(random_.Bits())) return false;
  }
  load_start_ = SteadyClock().Now() + kStartupMs;
  faults_end_ = load_start_ + settings_.span_ms;
  for (const Fault& fault : plan_.faults)
    RunAfter(kStartupMs + fault.start_ms,
             [this, fault] { InjectFault(fault); });
  Tick();
  return true;
}

void Soak::RunAfter(int64_t ms, std::function<void()> callback) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  timer->expires_after(std::chrono::milliseconds(ms));
  timer->async_wait([timer, callback = std::move(callback)](
                        boost::system::error_code) { callback(); });
}

void Soak::Tick() {
  tick_.expires_after(std::chrono::milliseconds(kTickMs));
  tick_.async_wait([this](boost::system::error_code) { OnTick(); });
}

void Soak::OnTick() {
  TimeMs now = SteadyClock().Now();
  if (now >= next_copy_) {
    store_.SaveCopy();
    next_copy_ = now + kCopyIntervalMs;
  }
  ReapDaemons();
  if (load_running_ && now >= load_start_) {
    requests_due_permille_ += settings_.rate * kTickMs;
    for (; requests_due_permille_ >= 1000; requests_due_permille_ -= 1000)
      SendRequest();
    CheckRecovery(now);
  }
  if (!load_running_ && !stopping_ && now >= stop_at_) StopDaemons();
  bool running = std::any_of(
      instances_.begin(), instances_.end(),
      [](const auto& instance) { return instance->Daemon()->Running(); });
  if (stopping_ && !running) {
    finished_ = true;
    io_.stop();
    return;
  }
  Tick();
}

void Soak::ReapDaemons() {
  TimeMs now = SteadyClock().Now();
  for (auto& instance : instances_) {
    std::optional<int> exit_code = instance->Daemon()->Reap();
    if (exit_code && !instance->stop_requested)
      history_.AddViolation(
          "ended_by_itself",
          fmt::format("sidecar-{} code {}", instance->Settings().index,
                      *exit_code));
    bool late = instance->Daemon()->Running() && instance->stop_requested &&
                now - instance->stop_requested_at > kGraceMs + kGraceSlackMs;
    if (late) {
      history_.AddViolation(
          "stop_took_too_long",
          fmt::format("sidecar-{}", instance->Settings().index));
      instance->Daemon()->Signal(SIGKILL);
      instance->stop_requested_at = now;
    }
    if (!exit_code || stopping_) continue;
    if (instance->restart_on_exit || !instance->stop_requested) {
      Instance* restarted = instance.get();
      restarted->stop_requested = true;
      restarted->restart_on_exit = false;
      MarkDisturbed(restarted, kRestartMs);
      RunAfter(kRestartMs, [this, restarted] {
        if (!stopping_ && !restarted->Daemon()->Running())
          restarted->StartDaemon();
      });
    }
  }
}

bool Soak::IsStable(const Instance& instance, TimeMs now) const {
  return now >= instance.disturbed_until + kStabilityMs;
}

/// Marks the instance as affected by a fault for `duration_ms` from now.
void Soak::MarkDisturbed(Instance* instance, int64_t duration_ms) {
  TimeMs until = SteadyClock().Now() + duration_ms;
  instance->disturbed_until = std::max(instance->disturbed_until, until);
  faults_end_ = std::max(faults_end_, until);
}

void Soak::SendRequest() {
  TimeMs now = SteadyClock().Now();
  Instance& instance = *instances_[random_.Below(instances_.size())];
  bool new_route = version_ > 1 && random_.Below(10) == 0;
  bool idempotent = new_route || random_.Below(2) == 0;
  std::string id = fmt::format("r-{:x}", next_request_++);
  SentRequest sent;
  sent.sent_at = now;
  sent.daemon = instance.Settings().index;
  sent.idempotent = idempotent;
  sent.service = idempotent && !new_route ? "catalogue" : "pledges";
  sent.target = (new_route    ? NewRoute(version_)
                 : idempotent ? "/lookup/"
                              : "/register/") +
                id;
  sent.body = idempotent ? "" : "pledge";
  // The initial routes are never unknown, because a daemon without a
  // configuration answers 503; a new route may be unknown for a while.
  sent.route_in_force =
      !new_route ||
      (now >= config_changed_at_ + kConfigPropagationMs &&
       IsStable(instance, now) && now >= store_disturbed_until_ + kStabilityMs);
  HttpRequest request;
  request.method = idempotent ? "GET" : "POST";
  request.target = sent.target;
  request.body = sent.body;
  request.headers = {
      {"Host", kMeshHost},
      {wire::header::kRequestId, id},
      {wire::header::kDeadlineMs, std::to_string(kClientTimeoutMs)}};
  std::string expected_body = ExpectedResponseBody(id, sent.target, sent.body);
  history_.OnSent(id, std::move(sent));
  bool aborts = random_.ChancePermille(kAbortPermille);
  uint64_t number = next_request_;
  Instance* target = &instance;
  instance.Client()->Send(
      number, std::move(request), kClientTimeoutMs,
      [this, id, expected_body, aborts, target](HttpOutcome outcome) {
        RequestOutcome result;
        result.ended_at = SteadyClock().Now();
        result.client_aborted =
            aborts && outcome.failure == HttpFailure::kCancelled;
        result.connection_broken = outcome.failure == HttpFailure::kBroken;
        result.daemon_stable = IsStable(*target, result.ended_at);
        if (!outcome.failure) {
          const HttpResponse& answer = outcome.response;
          result.status = answer.status;
          result.signed_by_backend =
              !HeaderOf(answer.headers, wire::header::kSignature).empty();
          result.body_matches = answer.body == expected_body;
        }
        // No byte was sent, so no daemon had to answer.
        if (outcome.failure == HttpFailure::kNotSent ||
            outcome.failure == HttpFailure::kResetUnsent)
          result.client_aborted = true;
        history_.OnOutcome(id, result);
      });
  if (aborts)
    RunAfter(kAbortAfterMs,
             [target, number] { target->Client()->Cancel(number); });
}

void Soak::OnRequestStarted(const MeshBackend& backend, const std::string& id,
                            const HttpRequest& request) {
  if (id.rfind(kCrashingId, 0) == 0)
    return OnCrashingRequest(backend.Settings().id);
  Arrival arrival;
  arrival.service = backend.Settings().service;
  arrival.caller = HeaderOf(request.headers, wire::header::kCaller);
  arrival.target = request.target;
  arrival.body = request.body;
  arrival.has_deadline =
      !HeaderOf(request.headers, wire::header::kDeadlineMs).empty();
  history_.OnArrival(id, arrival);
}

void Soak::InjectFault(const Fault& fault) {
  if (!load_running_) return;
  Instance* instance = instances_[static_cast<size_t>(fault.daemon)].get();
  fmt::print(stderr, "fault at_ms={} kind={} daemon={} edge={} for_ms={}\n",
             fault.start_ms, NameOf(fault.kind), fault.daemon,
             static_cast<int>(fault.connection), fault.duration_ms);
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
    case FaultKind::kStopDaemon:
    case FaultKind::kPauseDaemon:
    case FaultKind::kReloadDaemon:
      return InjectDaemonFault(fault, instance);
    case FaultKind::kDelayConnection:
    case FaultKind::kResetConnection:
    case FaultKind::kStallConnection:
    case FaultKind::kStallConnectionUpstream:
    case FaultKind::kStallConnectionDownstream:
      return InjectConnectionFault(fault, instance);
    case FaultKind::kStoreDown:
    case FaultKind::kStoreDropsResponses:
    case FaultKind::kStoreSlow:
    case FaultKind::kStoreThrottles:
    case FaultKind::kStoreCompacts:
      return InjectStoreFault(fault);
    case FaultKind::kCrashBackend:
    case FaultKind::kDrainBackend:
      return InjectBackendFault(fault, instance);
    case FaultKind::kCrashingRequest:
      crashing_until_ = SteadyClock().Now() + fault.duration_ms;
      faults_end_ = std::max(faults_end_, crashing_until_);
      return SendCrashingRequests();
    case FaultKind::kKillAllDaemons:
      for (auto& each : instances_) KillDaemon(fault, each.get());
      return;
    case FaultKind::kChangeConfig:
      return ChangeConfiguration();
    case FaultKind::kRestoreStore:
      return RestoreStore(fault);
    case FaultKind::kLimitBackend:
      return LimitBackend(fault, instance);
  }
}

void Soak::InjectDaemonFault(const Fault& fault, Instance* instance) {
  if (!instance->Daemon()->Running()) return;
  if (fault.kind == FaultKind::kKillDaemon) return KillDaemon(fault, instance);
  MarkDisturbed(instance, fault.duration_ms);
  switch (fault.kind) {
    case FaultKind::kReloadDaemon:
      instance->Daemon()->Signal(SIGHUP);
      return;
    case FaultKind::kPauseDaemon:
      instance->Daemon()->Signal(SIGSTOP);
      RunAfter(fault.duration_ms,
               [instance] { instance->Daemon()->Signal(SIGCONT); });
      return;
    case FaultKind::kStopDaemon:
      if (instance->stop_requested) return;
      MarkDisturbed(instance, kGraceMs);
      instance->Daemon()->Signal(SIGTERM);
      instance->stop_requested = true;
      instance->restart_on_exit = true;
      instance->stop_requested_at = SteadyClock().Now();
      return;
    default:
      return;
  }
}

void Soak::KillDaemon(const Fault& fault, Instance* instance) {
  if (!instance->Daemon()->Running()) return;
  MarkDisturbed(instance, fault.duration_ms);
  instance->stop_requested = true;
  instance->stop_requested_at = SteadyClock().Now();
  instance->Daemon()->Signal(SIGKILL);
  RunAfter(fault.duration_ms, [this, instance] {
    if (!stopping_ && !instance->Daemon()->Running()) instance->StartDaemon();
  });
}

void Soak::InjectConnectionFault(const Fault& fault, Instance* instance) {
  MarkDisturbed(instance, fault.duration_ms);
  ++instance->connection_faults;
  ConnectionType connection = fault.connection;
  uint64_t token =
      instance->SetConnectionFault(connection, ProxyFaultOf(fault.kind));
  RunAfter(fault.duration_ms, [instance, connection, token] {
    instance->ClearConnectionFault(connection, token);
  });
}

void Soak::InjectStoreFault(const Fault& fault) {
  TimeMs until = SteadyClock().Now() + fault.duration_ms;
  store_disturbed_until_ = std::max(store_disturbed_until_, until);
  faults_end_ = std::max(faults_end_, until);
  if (fault.kind == FaultKind::kStoreCompacts) return store_.Compact();
  uint64_t token = store_fault_token_ = next_store_fault_++;
  store_.SetFault(StoreFaultOf(fault.kind));
  RunAfter(fault.duration_ms, [this, token] {
    if (store_fault_token_ == token) store_.SetFault(StoreFault::kNone);
  });
}

/// What was written since the last copy is lost; the operator writes its last
/// version again.
void Soak::RestoreStore(const Fault& fault) {
  InjectStoreFault(fault);
  RunAfter(fault.duration_ms, [this] {
    store_.Restore();
    store_.Put("config", "main", ConfigurationOf(version_));
  });
}

void Soak::InjectBackendFault(const Fault& fault, Instance* instance) {
  if (instance->Backend() == nullptr || instance->Backend()->Draining()) return;
  bool is_drain = fault.kind == FaultKind::kDrainBackend;
  int64_t stay_ms = is_drain ? kDrainStayMs : 0;
  int64_t away_ms = is_drain ? kRestartMs : fault.duration_ms;
  MarkDisturbed(instance, stay_ms + away_ms);
  if (is_drain) instance->Backend()->Drain();
  RunAfter(stay_ms, [this, instance, away_ms] {
    MeshBackend* backend = instance->Backend();
    if (backend == nullptr) return;
    if (backend->LateRequests() > 0)
      history_.AddViolation("request_after_drain", backend->Settings().id);
    CrashBackend(instance, away_ms);
  });
}

/// Closes the sockets of the backend server; another starts after `away_ms`.
void Soak::CrashBackend(Instance* instance, int64_t away_ms) {
  instance->DestroyBackend();
  RunAfter(away_ms, [this, instance] {
    bool stopped = instance->Backend() == nullptr;
    if (stopped && !instance->StartBackend(random_.Bits()))
      history_.AddViolation("backend_address_taken",
                            std::to_string(instance->Settings().index));
  });
}

/// Sends the request that crashes backend servers at any daemon, again and
/// again, as a client does that got no answer.
void Soak::SendCrashingRequests() {
  TimeMs now = SteadyClock().Now();
  if (!load_running_ || now >= crashing_until_) return;
  Instance& instance = *instances_[random_.Below(instances_.size())];
  HttpRequest request;
  request.method = "GET";
  request.target = "/lookup/crashing";
  request.headers = {
      {"Host", kMeshHost},
      {wire::header::kRequestId,
       fmt::format("{}{}", kCrashingId, next_request_++)},
      {wire::header::kDeadlineMs, std::to_string(kClientTimeoutMs)}};
  instance.Client()->Send(next_request_, std::move(request), kClientTimeoutMs,
                          [](const HttpOutcome&) {});
  RunAfter(kCrashingRequestIntervalMs, [this] { SendCrashingRequests(); });
}

void Soak::OnCrashingRequest(const std::string& backend) {
  TimeMs now = SteadyClock().Now();
  ++crashing_runs_;
  if (crashing_runs_ == kCrashesToContain) contained_from_ = now + kStabilityMs;
  bool late = crashing_runs_ > kCrashesToContain && now > contained_from_;
  if (late && ++late_crashing_runs_ > kLateRunsAllowed)
    history_.AddViolation("crashing_request_not_contained", backend);
  RunAfter(kCrashDelayMs, [this, backend] {
    for (auto& instance : instances_) {
      MeshBackend* running = instance->Backend();
      if (running == nullptr || running->Settings().id != backend) continue;
      MarkDisturbed(instance.get(), kCrashedAwayMs);
      CrashBackend(instance.get(), kCrashedAwayMs);
    }
  });
}

/// The load goes on until the limit is lifted. Requests that a connection fault
/// holds back arrive at once later, so that the limit is not checked then.
void Soak::LimitBackend(const Fault& fault, Instance* instance) {
  MeshBackend* backend = instance->Backend();
  if (backend == nullptr) return;
  faults_end_ = std::max(faults_end_, SteadyClock().Now() + fault.duration_ms);
  backend->SetLimit(kBackendLimitPerSecond);
  std::string id = backend->Settings().id;
  int connection_faults = instance->connection_faults;
  RunAfter(fault.duration_ms, [this, instance, id, connection_faults] {
    MeshBackend* limited = instance->Backend();
    if (limited == nullptr || limited->Settings().id != id) return;
    bool held_back = instance->connection_faults != connection_faults;
    if (!held_back && limited->RequestsOverLimit() > 0)
      history_.AddViolation("limit_exceeded", id);
    limited->SetLimit(std::nullopt);
  });
}

void Soak::ChangeConfiguration() {
  ++version_;
  config_changed_at_ = SteadyClock().Now();
  store_.Put("config", "main", ConfigurationOf(version_));
}

/// Ends the load once service has recovered or the time for it is over.
void Soak::CheckRecovery(TimeMs now) {
  if (now < faults_end_ + kRecoveryWindowMs + kOutcomeDelayMs) return;
  TimeMs to = now - kOutcomeDelayMs;
  int served = history_.ServedPermille(to - kRecoveryWindowMs, to);
  bool recovered = served >= kRecoveredPermille;
  if (!recovered && now < faults_end_ + kRecoveryMs) return;
  if (!recovered)
    history_.AddViolation("no_recovery",
                          fmt::format("served_permille {}", served));
  if (recovered) recovery_ms_ = now - faults_end_;
  load_running_ = false;
  stop_at_ = now + kClientTimeoutMs + kOutcomeDelayMs;
}

void Soak::StopDaemons() {
  stopping_ = true;
  for (auto& instance : instances_) {
    instance->Daemon()->Signal(SIGTERM);
    instance->stop_requested = true;
    instance->stop_requested_at = SteadyClock().Now();
  }
}

bool Soak::Report() const {
  std::vector<Violation> violations = history_.Check(plan_.planned_only);
  std::string detail;
  for (const Violation& violation : violations)
    detail += fmt::format(" {}={}({})", violation.name, violation.count,
                          violation.example);
  fmt::print(
      "seed {} {} daemons={}{} faults={} asked={} served={} "
      "recovered_ms={}{}{}\n",
      settings_.seed, violations.empty() ? "ok" : "FAIL", settings_.daemons,
      plan_.planned_only ? " planned" : "", plan_.Summary(),
      history_.SentCount(), history_.ServedCount(), recovery_ms_,
      crashing_runs_ > 0 ? fmt::format(" crashing_runs={} late={}",
                                       crashing_runs_, late_crashing_runs_)
                         : "",
      detail);
  return violations.empty();
}

}  // namespace banyanloft::soak

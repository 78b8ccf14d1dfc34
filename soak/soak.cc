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
constexpr int64_t kStartMs = 4500;  ///< Time for the daemons to start, in ms.
constexpr int64_t kClientWaitMs = 2000;
/// Bounds of the users' pages, in ms: calm before a daemon is in touch, a new
/// version in force, recovery after the last fault, the end after SIGTERM.
constexpr int64_t kStabilityMs = 3000;
constexpr int64_t kConfigMs = 2000;
constexpr int64_t kRecoveryMs = 15000;
constexpr int64_t kGraceMs = 6000;
constexpr int64_t kGraceSlackMs = 1000;
/// Recovered: this share of the requests of a while is served, in 1/1000. The
/// rest are answers that backend servers spoil.
constexpr int64_t kRecoveredPermille = 950;
constexpr int64_t kRecoveredSpanMs = 1500;
constexpr int64_t kAnswerMs = 500;  ///< Until a request's end is known, in ms.
constexpr int64_t kRestartMs = 300;
constexpr int64_t kDrainedMs = 3000;  ///< A leaving backend server stays.
constexpr int kGiveUpPermille = 10;
constexpr int64_t kGiveUpMs = 30;

std::string NewRoute(int version) { return fmt::format("/new-{}/", version); }

/// Each version has the routes of those before and one more.
Json ConfigurationOf(int version) {
  std::vector<Json> more;
  for (int v = 2; v <= version; ++v)
    more.push_back(
        MeshRoute(fmt::format("new-{}", v), "safe", NewRoute(v), "pledges"));
  return MeshConfiguration(version, more);
}

FaultPlanSettings PlanSettingsOf(const SoakSettings& settings) {
  FaultPlanSettings plan;
  plan.seed = static_cast<uint64_t>(settings.seed);
  plan.daemons = static_cast<int>(settings.daemons);
  plan.span_ms = settings.span_ms;
  return plan;
}

Endpoint Local(int64_t port) {
  return {"127.0.0.1", static_cast<uint16_t>(port)};
}

ProxyFault ProxyFaultOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kDelayEdge:
      return ProxyFault::kDelay;
    case FaultKind::kResetEdge:
      return ProxyFault::kReset;
    case FaultKind::kSilenceEdge:
      return ProxyFault::kSilence;
    case FaultKind::kSilenceEdgeThere:
      return ProxyFault::kSilentThere;
    default:
      return ProxyFault::kSilentBack;
  }
}

StoreFault StoreFaultOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kStoreDown:
      return StoreFault::kDown;
    case FaultKind::kStoreLosesAnswers:
      return StoreFault::kLosesAnswers;
    case FaultKind::kStoreLate:
      return StoreFault::kLate;
    default:
      return StoreFault::kRefusesSome;
  }
}

}  // namespace

Soak::Soak(boost::asio::io_context& io, const SoakSettings& settings)
    : io_(io),
      settings_(settings),
      plan_(MakePlan(PlanSettingsOf(settings))),
      random_(static_cast<uint64_t>(settings.seed) + 1),
      store_(io, Local(settings.base_port),
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
        settings_.base_port + (i + 1) * Instance::kPortsOfInstance;
    instance.store = Local(settings_.base_port);
    instance.grace_ms = kGraceMs;
    instances_.push_back(std::make_unique<Instance>(io_, instance, this));
    if (!instances_.back()->Start(random_.Bits())) return false;
  }
  began_ = SteadyClock().Now() + kStartMs;
  calm_at_ = began_ + settings_.span_ms;
  for (const Fault& fault : plan_.faults)
    At(kStartMs + fault.at_ms, [this, fault] { Inject(fault); });
  Tick();
  return true;
}

void Soak::At(int64_t ms, std::function<void()> then) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  timer->expires_after(std::chrono::milliseconds(ms));
  timer->async_wait(
      [timer, then = std::move(then)](boost::system::error_code) { then(); });
}

void Soak::Tick() {
  tick_.expires_after(std::chrono::milliseconds(kTickMs));
  tick_.async_wait([this](boost::system::error_code) { OnTick(); });
}

void Soak::OnTick() {
  TimeMs now = SteadyClock().Now();
  ReapDaemons();
  if (asking_ && now >= began_) {
    due_permille_ += settings_.rate * kTickMs;
    for (; due_permille_ >= 1000; due_permille_ -= 1000) Ask();
    WatchRecovery(now);
  }
  if (!asking_ && !ending_ && now >= end_at_) EndDaemons();
  bool running = std::any_of(
      instances_.begin(), instances_.end(),
      [](const auto& instance) { return instance->Daemon()->Running(); });
  if (ending_ && !running) {
    over_ = true;
    io_.stop();
    return;
  }
  Tick();
}

void Soak::ReapDaemons() {
  TimeMs now = SteadyClock().Now();
  for (auto& instance : instances_) {
    std::optional<int> code = instance->Daemon()->Reap();
    if (code && !instance->told_to_end)
      book_.Note(
          "ended_by_itself",
          fmt::format("sidecar-{} code {}", instance->Settings().index, *code));
    bool late = instance->Daemon()->Running() && instance->told_to_end &&
                now - instance->term_at > kGraceMs + kGraceSlackMs;
    if (late) {
      book_.Note("stop_took_too_long",
                 fmt::format("sidecar-{}", instance->Settings().index));
      instance->Daemon()->Signal(SIGKILL);
      instance->term_at = now;
    }
    if (!code || ending_) continue;
    if (instance->restart || !instance->told_to_end) {
      Instance* restarted = instance.get();
      restarted->told_to_end = true;
      restarted->restart = false;
      Disturb(restarted, kRestartMs);
      At(kRestartMs, [this, restarted] {
        if (!ending_ && !restarted->Daemon()->Running())
          restarted->StartDaemon();
      });
    }
  }
}

bool Soak::InTouch(const Instance& instance, TimeMs now) const {
  return now >= instance.disturbed_until + kStabilityMs;
}

/// From now on until `for_ms` later the instance is out of touch.
void Soak::Disturb(Instance* instance, int64_t for_ms) {
  TimeMs until = SteadyClock().Now() + for_ms;
  instance->disturbed_until = std::max(instance->disturbed_until, until);
  calm_at_ = std::max(calm_at_, until);
}

void Soak::Ask() {
  TimeMs now = SteadyClock().Now();
  Instance& instance = *instances_[random_.Below(instances_.size())];
  bool new_route = version_ > 1 && random_.Below(10) == 0;
  bool idempotent = new_route || random_.Below(2) == 0;
  std::string id = fmt::format("r-{:x}", next_request_++);
  Asked asked;
  asked.at = now;
  asked.daemon = instance.Settings().index;
  asked.idempotent = idempotent;
  asked.service = idempotent && !new_route ? "catalogue" : "pledges";
  asked.target = (new_route    ? NewRoute(version_)
                  : idempotent ? "/lookup/"
                               : "/register/") +
                 id;
  asked.body = idempotent ? "" : "pledge";
  // A daemon without a configuration answers 503, so that the first routes are
  // never unknown; new ones may be for a while.
  asked.must_exist =
      !new_route || (now >= changed_at_ + kConfigMs && InTouch(instance, now) &&
                     now >= store_disturbed_until_ + kStabilityMs);
  HttpRequest request;
  request.method = idempotent ? "GET" : "POST";
  request.target = asked.target;
  request.body = asked.body;
  request.headers = {{"Host", kMeshHost},
                     {wire::header::kRequestId, id},
                     {wire::header::kWaitMs, std::to_string(kClientWaitMs)}};
  std::string whole = BodyOfAnswer(id, asked.target, asked.body);
  book_.OnAsked(id, std::move(asked));
  bool gives_up = random_.Permille(kGiveUpPermille);
  uint64_t number = next_request_;
  Instance* at = &instance;
  instance.Client()->Send(
      number, std::move(request), kClientWaitMs,
      [this, id, whole, gives_up, at](HttpOutcome outcome) {
        Ended ended;
        ended.at = SteadyClock().Now();
        ended.gave_up = gives_up && outcome.failure == HttpFailure::kCancelled;
        ended.broken = outcome.failure == HttpFailure::kBroken;
        ended.in_touch = InTouch(*at, ended.at);
        if (!outcome.failure) {
          const HttpResponse& answer = outcome.response;
          ended.status = answer.status;
          ended.signed_by_backend =
              !HeaderOf(answer.headers, wire::header::kSignature).empty();
          ended.whole = answer.body == whole;
        }
        // No byte left: nobody was asked.
        if (outcome.failure == HttpFailure::kNotSent) ended.gave_up = true;
        book_.OnEnded(id, ended);
      });
  if (gives_up) At(kGiveUpMs, [at, number] { at->Client()->Cancel(number); });
}

void Soak::OnArrival(const MeshBackend& backend, const std::string& id,
                     const HttpRequest& request) {
  Arrival arrival;
  arrival.service = backend.Settings().service;
  arrival.caller = HeaderOf(request.headers, wire::header::kCaller);
  arrival.target = request.target;
  arrival.body = request.body;
  arrival.has_deadline =
      !HeaderOf(request.headers, wire::header::kWaitMs).empty();
  book_.OnArrival(id, arrival);
}

void Soak::Inject(const Fault& fault) {
  if (!asking_) return;
  Instance* instance = instances_[static_cast<size_t>(fault.daemon)].get();
  fmt::print(stderr, "fault at_ms={} kind={} daemon={} edge={} for_ms={}\n",
             fault.at_ms, NameOf(fault.kind), fault.daemon,
             static_cast<int>(fault.edge), fault.for_ms);
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
    case FaultKind::kStopDaemon:
    case FaultKind::kPauseDaemon:
    case FaultKind::kReloadDaemon:
      return InjectAtDaemon(fault, instance);
    case FaultKind::kDelayEdge:
    case FaultKind::kResetEdge:
    case FaultKind::kSilenceEdge:
    case FaultKind::kSilenceEdgeThere:
    case FaultKind::kSilenceEdgeBack:
      return InjectAtEdge(fault, instance);
    case FaultKind::kStoreDown:
    case FaultKind::kStoreLosesAnswers:
    case FaultKind::kStoreLate:
    case FaultKind::kStoreRefusesSome:
    case FaultKind::kStoreCompacts:
      return InjectAtStore(fault);
    case FaultKind::kCrashBackend:
    case FaultKind::kDrainBackend:
      return InjectAtBackend(fault, instance);
    case FaultKind::kChangeConfig:
      return ChangeConfiguration();
  }
}

void Soak::InjectAtDaemon(const Fault& fault, Instance* instance) {
  if (!instance->Daemon()->Running()) return;
  Disturb(instance, fault.for_ms);
  switch (fault.kind) {
    case FaultKind::kReloadDaemon:
      instance->Daemon()->Signal(SIGHUP);
      return;
    case FaultKind::kPauseDaemon:
      instance->Daemon()->Signal(SIGSTOP);
      At(fault.for_ms, [instance] { instance->Daemon()->Signal(SIGCONT); });
      return;
    case FaultKind::kStopDaemon:
      if (instance->told_to_end) return;
      Disturb(instance, kGraceMs);
      instance->Daemon()->Signal(SIGTERM);
      instance->told_to_end = true;
      instance->restart = true;
      instance->term_at = SteadyClock().Now();
      return;
    default:
      instance->told_to_end = true;
      instance->term_at = SteadyClock().Now();
      instance->Daemon()->Signal(SIGKILL);
      At(fault.for_ms, [this, instance] {
        if (!ending_ && !instance->Daemon()->Running()) instance->StartDaemon();
      });
  }
}

void Soak::InjectAtEdge(const Fault& fault, Instance* instance) {
  Disturb(instance, fault.for_ms);
  Edge edge = fault.edge;
  uint64_t token = instance->SetEdgeFault(edge, ProxyFaultOf(fault.kind));
  At(fault.for_ms,
     [instance, edge, token] { instance->EndEdgeFault(edge, token); });
}

void Soak::InjectAtStore(const Fault& fault) {
  TimeMs until = SteadyClock().Now() + fault.for_ms;
  store_disturbed_until_ = std::max(store_disturbed_until_, until);
  calm_at_ = std::max(calm_at_, until);
  if (fault.kind == FaultKind::kStoreCompacts) return store_.Compact();
  uint64_t token = store_fault_ = next_fault_++;
  store_.SetFault(StoreFaultOf(fault.kind));
  At(fault.for_ms, [this, token] {
    if (store_fault_ == token) store_.SetFault(StoreFault::kNone);
  });
}

void Soak::InjectAtBackend(const Fault& fault, Instance* instance) {
  if (instance->Backend() == nullptr || instance->Backend()->Draining()) return;
  bool drains = fault.kind == FaultKind::kDrainBackend;
  int64_t stays_ms = drains ? kDrainedMs : 0;
  int64_t away_ms = drains ? kRestartMs : fault.for_ms;
  Disturb(instance, stays_ms + away_ms);
  if (drains) instance->Backend()->Drain();
  At(stays_ms, [this, instance, away_ms] {
    MeshBackend* backend = instance->Backend();
    if (backend == nullptr) return;
    if (backend->LateArrivals() > 0)
      book_.Note("request_after_drain", backend->Settings().id);
    instance->DropBackend();
    At(away_ms, [this, instance] {
      bool away = instance->Backend() == nullptr;
      if (away && !instance->StartBackend(random_.Bits()))
        book_.Note("backend_address_taken",
                   std::to_string(instance->Settings().index));
    });
  });
}

void Soak::ChangeConfiguration() {
  ++version_;
  changed_at_ = SteadyClock().Now();
  store_.Put("config", "main", ConfigurationOf(version_));
}

/// Ends the load once service is back, or its time is over.
void Soak::WatchRecovery(TimeMs now) {
  if (now < calm_at_ + kRecoveredSpanMs + kAnswerMs) return;
  TimeMs to = now - kAnswerMs;
  int served = book_.ServedPermille(to - kRecoveredSpanMs, to);
  bool recovered = served >= kRecoveredPermille;
  if (!recovered && now < calm_at_ + kRecoveryMs) return;
  if (!recovered)
    book_.Note("no_recovery", fmt::format("served_permille {}", served));
  if (recovered) recovered_ms_ = now - calm_at_;
  asking_ = false;
  end_at_ = now + kClientWaitMs + kAnswerMs;
}

void Soak::EndDaemons() {
  ending_ = true;
  for (auto& instance : instances_) {
    instance->Daemon()->Signal(SIGTERM);
    instance->told_to_end = true;
    instance->term_at = SteadyClock().Now();
  }
}

bool Soak::Report() const {
  std::vector<Promise> broken = book_.Judge(plan_.planned_only);
  std::string detail;
  for (const Promise& promise : broken)
    detail += fmt::format(" {}={}({})", promise.name, promise.broken,
                          promise.example);
  fmt::print(
      "seed {} {} daemons={}{} faults={} asked={} served={} "
      "recovered_ms={}{}\n",
      settings_.seed, broken.empty() ? "ok" : "FAIL", settings_.daemons,
      plan_.planned_only ? " planned" : "", plan_.Summary(), book_.AskedCount(),
      book_.ServedCount(), recovered_ms_, detail);
  return broken.empty();
}

}  // namespace banyanloft::soak

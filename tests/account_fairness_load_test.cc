#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/mesh/admission_controller.h"
#include "banyanloft/mesh/target_selector.h"

using namespace banyanloft;

namespace {

/// A stream of requests, and what its callers got.
struct Stream {
  std::string route;
  std::string account;
  int urgency = 0;
  double per_s = 0;
  int64_t run_ms = 0;
  int64_t aim_ms = 0;
  int64_t deadline_ms = 0;

  int offered = 0;
  int in_aim = 0;
  int late = 0;         ///< Ran, but ended after the aim.
  int64_t late_ms = 0;  ///< Slot time of those.

  double InAim() const { return offered == 0 ? 0 : 1.0 * in_aim / offered; }
};

/// Plays streams of requests against the targets of one service, whose servers
/// have different speeds. Each request is placed by the selector of its daemon,
/// and refused after as many refusals as the forwarder allows.
class ServiceSimulation {
 public:
  ServiceSimulation(int targets, int slots, std::vector<Stream> list)
      : streams(std::move(list)) {
    settings_.slots = slots;
    for (int i = 0; i < targets; ++i) {
      Target target;
      target.controller = std::make_unique<AdmissionController>(settings_);
      double position = targets == 1 ? 0.5 : 1.0 * i / (targets - 1);
      target.speed = 0.5 + position;
      targets_.push_back(std::move(target));
      candidates_.push_back({static_cast<MemberId>(i + 1), true, false});
    }
    for (uint64_t i = 0; i < kDaemons; ++i)
      selectors_.emplace_back(TargetSelectorSettings(), i + 1);
  }

  /// Replaces all controllers, as restarted daemons do; queued work is lost.
  void Restart() {
    for (Target& target : targets_) {
      AdmissionController::Decisions decisions;
      target.controller->RefuseAll(ErrorKind::kDraining, &decisions);
      for (const AdmissionDecision& decision : decisions)
        requests_.erase(decision.id);
      target.controller = std::make_unique<AdmissionController>(settings_);
    }
  }

  void Run(int64_t duration_ms) {
    constexpr int64_t kTickMs = 20;
    for (int64_t at = 0; at < duration_ms; ++at) {
      now_ = now_ + 1;
      while (!ends_.empty() && ends_.top().at <= now_) End();
      for (size_t i = 0; i < streams.size(); ++i) Arrive(i);
      while (!returns_.empty() && returns_.top().at <= now_) {
        Return next = returns_.top();
        returns_.pop();
        Add(next.stream, next.tries + 1);
      }
      if (at % kTickMs == 0) Tick();
      for (const Target& target : targets_)
        busy_ms += target.controller->Running();
    }
  }
  void ResetCounts() {
    for (Stream& stream : streams) {
      stream.offered = stream.in_aim = 0;
      stream.late_ms = 0;
    }
    busy_ms = 0;
    tries = 0;
  }

  std::vector<Stream> streams;
  int64_t busy_ms = 0;  ///< Slot time used.
  int tries = 0;        ///< Requests sent by clients, again or not.
  int max_tries = 1;    ///< Of one client, which returns after Retry-After.

 private:
  static constexpr uint64_t kDaemons = 8;
  static constexpr size_t kMaxRefusals = 3;
  struct Target {
    std::unique_ptr<AdmissionController> controller;
    double speed = 1;
  };
  struct Request {
    size_t stream = 0;
    size_t daemon = 0;
    int tries = 1;
    TimeMs arrived;
    size_t target = 0;
    TimeMs started;
    std::vector<MemberId> refused_by;
  };
  struct Return {
    TimeMs at;
    size_t stream = 0;
    int tries = 1;
    bool operator<(const Return& other) const { return at > other.at; }
  };
  struct EndOfRun {
    TimeMs at;
    uint64_t id = 0;
    bool operator<(const EndOfRun& other) const {
      return at != other.at ? at > other.at : id > other.id;
    }
  };

  void Arrive(size_t stream) {
    constexpr uint64_t kMillion = 1000000;
    auto chance = static_cast<uint64_t>(streams[stream].per_s * 1000);
    if (random_.Below(kMillion) >= chance) return;
    ++streams[stream].offered;
    Add(stream, 1);
  }
  void Add(size_t stream, int nth_try) {
    ++tries;
    uint64_t id = next_++;
    Request& request = requests_[id];
    request.stream = stream;
    request.daemon = random_.Below(kDaemons);
    request.arrived = now_;
    request.tries = nth_try;
    Place(id, 0);
  }
  void Place(uint64_t id, int64_t retry_after_ms) {
    Request& request = requests_.at(id);
    const Stream& stream = streams[request.stream];
    int64_t age_ms = now_ - request.arrived;
    std::optional<TargetChoice> choice;
    if (request.refused_by.size() < kMaxRefusals &&
        request.refused_by.size() < targets_.size()) {
      TargetQuery query;
      query.cost = CostOf(stream);
      query.urgency = stream.urgency;
      query.aim_left_ms = stream.aim_ms - age_ms;
      choice = selectors_[request.daemon].Choose(now_, candidates_, query,
                                                 request.refused_by);
    }
    if (!choice) {
      if (request.tries < max_tries)
        returns_.push({now_ + retry_after_ms, request.stream, request.tries});
      requests_.erase(id);
      return;
    }
    selectors_[request.daemon].OnSent(choice->id, choice->cost_ms);
    request.target = choice->id - 1;
    AdmissionRequest work;
    work.id = id;
    work.urgency = stream.urgency;
    work.route = stream.route;
    work.account = stream.account;
    work.aim_left_ms = stream.aim_ms - age_ms;
    work.deadline = request.arrived + stream.deadline_ms;
    AdmissionController::Decisions decisions;
    targets_[request.target].controller->Offer(now_, work, &decisions);
    Apply(request.target, decisions);
  }
  void Apply(size_t target, const AdmissionController::Decisions& decisions) {
    for (const AdmissionDecision& decision : decisions) {
      Request& request = requests_.at(decision.id);
      if (decision.type == AdmissionDecision::Type::kStart) {
        request.started = now_;
        int64_t mean_ms = streams[request.stream].run_ms;
        int64_t work_ms =
            mean_ms / 2 +
            static_cast<int64_t>(random_.Below(static_cast<uint64_t>(mean_ms)));
        double run_ms = static_cast<double>(work_ms) / targets_[target].speed;
        ends_.push({now_ + static_cast<int64_t>(run_ms) + 1, decision.id});
        continue;
      }
      Report(request, -1);
      request.refused_by.push_back(target + 1);
      Place(decision.id, decision.retry_after_ms);
    }
  }
  static CostKey CostOf(const Stream& stream) {
    return CostModel::KeyOf({stream.route, "GET", "", "", 0});
  }
  void Report(const Request& request, int64_t run_ms) {
    TargetSelector& selector = selectors_[request.daemon];
    MemberId id = request.target + 1;
    selector.OnEnded(id);
    selector.OnReport(now_, id, targets_[request.target].controller->Load(now_),
                      CostOf(streams[request.stream]), run_ms);
  }
  void End() {
    uint64_t id = ends_.top().id;
    ends_.pop();
    Request request = requests_.at(id);
    Stream& stream = streams[request.stream];
    bool in_aim = now_ - request.arrived <= stream.aim_ms;
    int64_t run_ms = now_ - request.started;
    stream.in_aim += in_aim ? 1 : 0;
    stream.late_ms += in_aim ? 0 : run_ms;
    AdmissionController::Decisions decisions;
    targets_[request.target].controller->Finish(now_, id, run_ms, &decisions);
    Report(request, run_ms);
    requests_.erase(id);
    Apply(request.target, decisions);
  }
  void Tick() {
    for (size_t i = 0; i < targets_.size(); ++i) {
      AdmissionController::Decisions decisions;
      targets_[i].controller->Tick(now_, &decisions);
      Apply(i, decisions);
    }
  }

  AdmissionSettings settings_;
  Random random_{11};
  TimeMs now_;
  uint64_t next_ = 1;
  std::vector<Target> targets_;
  std::vector<TargetCandidate> candidates_;
  std::vector<TargetSelector> selectors_;
  std::map<uint64_t, Request> requests_;
  std::priority_queue<EndOfRun> ends_;
  std::priority_queue<Return> returns_;
};

/// Streams of equal accounts at their usual rate, then one large account.
std::vector<Stream> AccountStreams(bool named) {
  constexpr int kSmallAccounts = 20;
  std::vector<Stream> streams;
  for (int i = 0; i <= kSmallAccounts; ++i) {
    Stream stream;
    stream.route = "rate-quote";
    if (named) stream.account = "account-" + std::to_string(i);
    stream.urgency = 1;
    stream.per_s = i < kSmallAccounts ? 5 : 25;
    stream.run_ms = 210;
    stream.aim_ms = 600;
    stream.deadline_ms = 1500;
    streams.push_back(stream);
  }
  return streams;
}

/// Share in aim of the worst tenth of the accounts other than the last one.
double WorstTenth(const ServiceSimulation& service) {
  std::vector<double> shares;
  for (size_t i = 0; i + 1 < service.streams.size(); ++i)
    shares.push_back(service.streams[i].InAim());
  std::sort(shares.begin(), shares.end());
  size_t count = shares.size() / 10;
  double sum = 0;
  for (size_t i = 0; i < count; ++i) sum += shares[i];
  return sum / static_cast<double>(count);
}

int TotalInAim(const ServiceSimulation& service) {
  int total = 0;
  for (const Stream& stream : service.streams) total += stream.in_aim;
  return total;
}

constexpr int kTargets = 4;
constexpr int kSlots = 12;
constexpr double kSurge = 6;
constexpr int64_t kUsualMs = 60000;
constexpr int64_t kSurgeMs = 20000;

}  // namespace

TEST_GROUP(account_fairness_load){};

/// An account that sends six times its usual must take room from itself:
/// without shares it took it from all.
TEST(account_fairness_load, largeAccountSurges_othersAreServedAsBefore) {
  double worst_without = 0;
  int64_t busy_without_ms = 0;
  int total_without = 0;
  for (bool named : {false, true}) {
    ServiceSimulation service(kTargets, kSlots, AccountStreams(named));
    service.Run(kUsualMs);
    service.ResetCounts();
    service.streams.back().per_s *= kSurge;
    service.Run(kSurgeMs);
    if (!named) {
      worst_without = WorstTenth(service);
      busy_without_ms = service.busy_ms;
      total_without = TotalInAim(service);
      continue;
    }
    CHECK(worst_without < 0.9);
    CHECK(WorstTenth(service) >= 0.95);
    // Its usual rate is a sixth of what it sends.
    CHECK(service.streams.back().InAim() >= 1 / kSurge);
    // The surge's work that is overtaken is refused rather than started late:
    // a shorter queue leaves slots idle at random.
    CHECK(service.busy_ms * 100 >= busy_without_ms * 92);
    CHECK(TotalInAim(service) * 100 >= total_without * 93);
  }
}

/// A daemon that restarts during the surge knows no usual use.
TEST(account_fairness_load, daemonsRestartDuringSurge_othersAreServed) {
  ServiceSimulation service(kTargets, kSlots, AccountStreams(true));
  service.Run(kUsualMs);
  service.streams.back().per_s *= kSurge;
  service.Run(kSurgeMs);
  service.Restart();
  constexpr int64_t kStartMs = 3000;
  service.Run(kStartMs);
  service.ResetCounts();
  service.Run(kSurgeMs);
  CHECK(WorstTenth(service) >= 0.95);
}

/// Long work at two and a half times its usual rate needs more slots than there
/// are. What is served must be near what the slots allow, little slot time may
/// go to work that ends late, and urgent work must be served as usual.
TEST(account_fairness_load, burstOfLongWork_isServedAsFarAsSlotsAllow) {
  constexpr int64_t kWarmUpMs = 10000;
  constexpr int64_t kBurstMs = 20000;
  constexpr int kServers = 28;
  const Stream kPayout = {"payout", "a", 0, 234, 140, 400, 1000};
  const Stream kNested = {"nested", "", 1, 600, 52, 200, 800};
  const Stream kHistory = {"history", "a", 3, 216 * 2.5, 820, 4000, 6000};
  ServiceSimulation service(kServers, kSlots, {kPayout, kNested, kHistory});
  service.Run(kWarmUpMs);
  service.ResetCounts();
  service.Run(kBurstMs);
  const Stream& payout = service.streams[0];
  const Stream& nested = service.streams[1];
  const Stream& history = service.streams[2];
  // The speeds are 1 on the mean, so a slot does 1 ms of work in 1 ms.
  int64_t slot_ms = kServers * kSlots * kBurstMs;
  int64_t urgent_ms =
      payout.offered * payout.run_ms + nested.offered * nested.run_ms;
  int64_t best = (slot_ms - urgent_ms) / history.run_ms;
  CHECK(history.offered > best);
  CHECK(history.in_aim * 100 >= best * 85);
  CHECK(history.late_ms * 100 <= slot_ms);
  CHECK(service.busy_ms * 100 >= slot_ms * 90);
  CHECK(payout.InAim() >= 0.97);
  CHECK(nested.InAim() >= 0.97);
}

/// Clients that return after Retry-After must find room: returns at once, or
/// all together, are refused again.
TEST(account_fairness_load, refusedClientsReturn_retryDelaysSpreadThem) {
  constexpr int64_t kBurstMs = 10000;
  constexpr int64_t kAfterMs = 30000;
  const Stream kHistory = {"history", "a", 3, 216, 820, 4000, 6000};
  ServiceSimulation service(28, kSlots, {kHistory});
  service.max_tries = 3;
  service.Run(kBurstMs);
  service.ResetCounts();
  service.streams[0].per_s *= 2.5;
  service.Run(kBurstMs);
  service.streams[0].per_s /= 2.5;
  service.Run(kAfterMs);
  const Stream& history = service.streams[0];
  CHECK(history.InAim() >= 0.95);
  CHECK(service.tries * 2 <= history.offered * 3);
}

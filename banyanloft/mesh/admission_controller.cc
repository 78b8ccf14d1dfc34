#include "banyanloft/mesh/admission_controller.h"

#include <algorithm>
#include <cassert>

namespace banyanloft {
namespace {

constexpr int64_t kPermille = 1000;
/// Number of classes below a running one whose credit is earned in full.
constexpr int64_t kFullCreditClasses = 3;
/// Minimum retry delay sent with a refusal, in ms: about a round trip.
constexpr int64_t kMinRetryAfterMs = 60;
/// Golden ratio step of the retry delays, in 1/1000: it spreads any number of
/// retries evenly.
constexpr uint64_t kSpreadStepPermille = 618;
/// Maximum base of the retry delay, in ms: the limits of a backend server may
/// change at any time.
constexpr int64_t kMaxRetryAfterMs = 10000;

/// Order of queued work within a class.
bool ComesBefore(const AdmissionRequest& a, const AdmissionRequest& b) {
  return a.tier != b.tier ? a.tier < b.tier : a.due < b.due;
}

}  // namespace

void AdmissionController::SetSlots(int slots) {
  settings_.slots = std::max(1, slots);
}

/// Mean age of the running work of a route, in ms.
int64_t AdmissionController::RunningAgeMs(TimeMs now,
                                          const std::string& route) const {
  int64_t sum_ms = 0;
  int64_t count = 0;
  for (const auto& [id, work] : running_) {
    if (work.route != route) continue;
    sum_ms += now - work.started;
    ++count;
  }
  return count == 0 ? 0 : sum_ms / count;
}

/// Without a sample, the estimate is at least the mean age of the running work,
/// because a backend server that hangs yields no samples.
int64_t AdmissionController::ExpectedRunMs(TimeMs now, const std::string& route,
                                           int64_t aim_ms) const {
  int64_t mean_ms = run_times_.MeanMs(now, route);
  if (mean_ms >= 0) return mean_ms;
  int64_t default_ms =
      std::max<int64_t>(0, aim_ms) * settings_.default_run_permille / kPermille;
  return std::max(default_ms, RunningAgeMs(now, route));
}

int AdmissionController::Waiting() const {
  size_t total = 0;
  for (const std::deque<AdmissionRequest>& queue : waiting_)
    total += queue.size();
  return static_cast<int>(total);
}

/// The longer of the waits for the rate limit and for a slot. The latter is the
/// run time of the work ahead divided by the slots available to this class,
/// that is without those reserved for more urgent classes. Work of the same
/// class that comes later in the order does not count.
int64_t AdmissionController::ExpectedWaitMs(
    TimeMs now, const AdmissionRequest& offer) const {
  int urgency = offer.urgency;
  int64_t ahead_ms = 0;
  int ahead = 0;
  for (int cls = 0; cls <= urgency; ++cls) {
    for (const AdmissionRequest& work : waiting_[static_cast<size_t>(cls)]) {
      bool behind = cls == urgency && ComesBefore(offer, work);
      if (behind || work.id == offer.id) break;
      ahead_ms += ExpectedRunMs(now, work);
      ++ahead;
    }
  }
  int64_t rate_wait_ms = RateWaitMs(now, urgency, ahead);
  if (ahead == 0 && Running() < UsableSlots()) return rate_wait_ms;
  return std::max(rate_wait_ms, SlotWaitMs(now, offer, ahead_ms));
}

/// Time until the rate limit allows one request more than the `ahead` ones. A
/// class gets the part of the rate that is left by the more urgent ones.
int64_t AdmissionController::RateWaitMs(TimeMs now, int urgency,
                                        int ahead) const {
  int64_t urgent_permille =
      std::min(urgent_share_permille_[static_cast<size_t>(urgency)],
               settings_.max_reserve_permille);
  return limiter_.WaitMs(now, ahead + 1, kPermille - urgent_permille);
}

/// Time until a slot is free for work that comes after `ahead_ms` of run time.
int64_t AdmissionController::SlotWaitMs(TimeMs now,
                                        const AdmissionRequest& offer,
                                        int64_t ahead_ms) const {
  int64_t running_ms = 0;
  for (const auto& [id, work] : running_)
    running_ms += ExpectedRunMs(now, work.route, work.aim_ms);
  int busy = std::max(1, Running());
  return (ahead_ms + running_ms / busy) / AvailableSlots(now, offer);
}

/// Slots that are not reserved for more urgent classes.
int64_t AdmissionController::AvailableSlots(
    TimeMs now, const AdmissionRequest& work) const {
  int slots = UsableSlots();
  int max_reserved =
      static_cast<int>(slots * settings_.max_reserve_permille / kPermille);
  return std::max({1, slots - max_reserved, slots - SlotsForUrgent(now, work)});
}

/// Whether work would miss its aim even if it started immediately.
bool AdmissionController::MissesAim(TimeMs now,
                                    const AdmissionRequest& work) const {
  return ExpectedRunMs(now, work) >= work.aim_left_ms;
}

/// Longest wait after which the answer is still useful. The most urgent class
/// may wait until its deadline: it is served first, so its waits are short, and
/// it contains nested calls, whose refusal fails a parent request that already
/// occupies a slot.
int64_t AdmissionController::WaitLimitMs(TimeMs now,
                                         const AdmissionRequest& work) const {
  int64_t left_ms = std::max<int64_t>(0, work.deadline - work.offered);
  if (work.urgency == 0) return left_ms;
  if (MissesAim(now, work))
    return left_ms * settings_.late_wait_permille / kPermille;
  int64_t run_ms =
      ExpectedRunMs(now, work) * settings_.run_margin_permille / kPermille;
  int64_t spare_ms =
      (work.aim_left_ms - run_ms) * settings_.wait_share_permille / kPermille;
  return std::max(spare_ms, settings_.min_wait_limit_ms);
}

/// Whether work that starts after `wait_ms` is expected to miss its deadline.
/// Only half of the expected run time counts, and at most half of the remaining
/// time, because a wrong estimate must not exclude the work whose samples would
/// correct it.
bool AdmissionController::MissesDeadline(TimeMs now,
                                         const AdmissionRequest& work,
                                         int64_t wait_ms) const {
  int64_t left_ms = work.deadline - now;
  int64_t run_ms = std::min(ExpectedRunMs(now, work) / 2, left_ms / 2);
  return wait_ms + run_ms >= left_ms;
}

/// Updates the mean aim of the work's class. Work whose aim has already passed
/// is ignored.
void AdmissionController::RecordAim(const AdmissionRequest& work) {
  constexpr int64_t kMeanDivisor = 16;
  if (work.aim_left_ms <= 0) return;
  int64_t& mean = aim_ms_[static_cast<size_t>(work.urgency)];
  mean = mean == 0 ? work.aim_left_ms
                   : mean + (work.aim_left_ms - mean) / kMeanDivisor;
}

void AdmissionController::Offer(TimeMs now, AdmissionRequest work,
                                Decisions* decisions) {
  work.offered = now;
  RecordAim(work);
  work.due = MissesAim(now, work) ? work.deadline : now + work.aim_left_ms;
  if (!work.account.empty()) {
    int64_t pending_ms = QueuedMs(now, work.account) + ExpectedRunMs(now, work);
    work.tier = AccountShares::TierOf(LevelOf(now, work.account, pending_ms));
  }
  int64_t wait_ms = 0;
  std::optional<ErrorKind> error = RefusalOf(now, work, &wait_ms);
  if (error && !MakeRoom(now, work, decisions))
    return RefuseNow(now, work, *error, wait_ms, decisions);
  Queue(std::move(work));
  StartWaiting(now, decisions);
}

/// Why offered work is refused, if it is; `wait_ms` is set to its expected
/// wait.
std::optional<ErrorKind> AdmissionController::RefusalOf(
    TimeMs now, const AdmissionRequest& work, int64_t* wait_ms) const {
  *wait_ms = ExpectedWaitMs(now, work);
  if (*wait_ms > 0 && MissesDeadline(now, work, *wait_ms))
    return ErrorKind::kDeadlineUnmeetable;
  bool full = static_cast<size_t>(Waiting()) >= settings_.max_waiting;
  if (full || *wait_ms > WaitLimitMs(now, work)) return ErrorKind::kOverloaded;
  return std::nullopt;
}

/// Expected run time of the queued work of an account.
int64_t AdmissionController::QueuedMs(TimeMs now,
                                      const std::string& account) const {
  int64_t sum_ms = 0;
  for (const std::deque<AdmissionRequest>& queue : waiting_) {
    for (const AdmissionRequest& work : queue) {
      if (work.account == account) sum_ms += ExpectedRunMs(now, work);
    }
  }
  return sum_ms;
}

int64_t AdmissionController::LevelOf(TimeMs now, const std::string& account,
                                     int64_t pending_ms) const {
  return shares_.LevelPermille(now, account, pending_ms, settings_.slots);
}

/// Finds the queued work whose refusal leaves room for `work`: that of the
/// account furthest above its share, and of that account the last one. Work
/// behind `work` leaves it no room, unless the queue is full.
bool AdmissionController::FindDisplaceable(TimeMs now,
                                           const AdmissionRequest& work,
                                           size_t* urgency,
                                           size_t* index) const {
  bool full = static_cast<size_t>(Waiting()) >= settings_.max_waiting;
  size_t first = static_cast<size_t>(work.urgency);
  size_t last = full ? waiting_.size() - 1 : first;
  std::unordered_map<std::string, int64_t> queued_ms;
  for (const std::deque<AdmissionRequest>& queue : waiting_) {
    for (const AdmissionRequest& queued : queue) {
      if (!queued.account.empty())
        queued_ms[queued.account] += ExpectedRunMs(now, queued);
    }
  }
  std::unordered_map<std::string, int64_t> levels;
  for (const auto& [account, pending_ms] : queued_ms)
    levels[account] = LevelOf(now, account, pending_ms);
  int64_t highest = kPermille;
  for (size_t cls = first; cls <= last; ++cls) {
    for (size_t i = 0; i < waiting_[cls].size(); ++i) {
      const AdmissionRequest& queued = waiting_[cls][i];
      if (!full && ComesBefore(work, queued)) break;
      if (queued.account.empty() || queued.account == work.account) continue;
      int64_t level = levels.at(queued.account);
      if (level <= kPermille || level < highest) continue;
      highest = level;
      *urgency = cls;
      *index = i;
    }
  }
  return highest > kPermille;
}

/// Refuses queued work of accounts above their shares, if `work` is within its
/// own and can then be admitted.
bool AdmissionController::MakeRoom(TimeMs now, const AdmissionRequest& work,
                                   Decisions* decisions) {
  if (work.tier > 0) return false;
  std::vector<AdmissionRequest> removed;
  size_t cls = 0;
  size_t index = 0;
  int64_t wait_ms = 0;
  bool fits = false;
  while (!fits && static_cast<int>(removed.size()) < settings_.max_displaced &&
         FindDisplaceable(now, work, &cls, &index)) {
    std::deque<AdmissionRequest>& queue = waiting_[cls];
    auto at = queue.begin() + static_cast<std::ptrdiff_t>(index);
    removed.push_back(std::move(*at));
    queue.erase(at);
    fits = !RefusalOf(now, work, &wait_ms);
  }
  for (AdmissionRequest& other : removed) {
    if (!fits) {
      Queue(std::move(other));
      continue;
    }
    RefuseNow(now, other, ErrorKind::kOverloaded, ExpectedWaitMs(now, other),
              decisions);
    decisions->back().displaced = true;
  }
  return fits;
}

/// Refuses work of accounts above their shares whose wait has come to exceed
/// its limit because work of others was put before it. Work that waits longer
/// mostly ends late: a limit that is a fifth longer costs 2 % of all answers.
void AdmissionController::RefuseOvertaken(TimeMs now, Decisions* decisions) {
  for (std::deque<AdmissionRequest>& queue : waiting_) {
    while (!queue.empty() && queue.back().tier > 0) {
      const AdmissionRequest& last = queue.back();
      int64_t wait_ms = ExpectedWaitMs(now, last);
      bool fits = now - last.offered + wait_ms <= WaitLimitMs(now, last) &&
                  !MissesDeadline(now, last, wait_ms);
      if (fits) break;
      RefuseNow(now, last, ErrorKind::kOverloaded, wait_ms, decisions);
      decisions->back().displaced = true;
      queue.pop_back();
    }
  }
}

/// Orders a class by earliest due time, after that of accounts further within
/// their shares. Work that will miss its aim is ordered by its deadline, so
/// that it does not delay work that can meet its aim.
void AdmissionController::Queue(AdmissionRequest work) {
  std::deque<AdmissionRequest>& queue =
      waiting_[static_cast<size_t>(work.urgency)];
  auto at = std::upper_bound(queue.begin(), queue.end(), work, ComesBefore);
  queue.insert(at, std::move(work));
}

void AdmissionController::Finish(TimeMs now, uint64_t id, int64_t run_ms,
                                 Decisions* decisions) {
  auto it = running_.find(id);
  if (it == running_.end()) return;
  if (run_ms >= 0) run_times_.Add(now, it->second.route, run_ms);
  const RunningWork& work = it->second;
  if (!work.account.empty() && run_ms >= 0)
    shares_.Charge(now, work.account, run_ms - work.charged_ms);
  --running_by_class_[static_cast<size_t>(work.urgency)];
  exclusive_running_ -= work.exclusive ? 1 : 0;
  running_.erase(it);
  StartWaiting(now, decisions);
}

bool AdmissionController::Withdraw(uint64_t id) {
  for (std::deque<AdmissionRequest>& queue : waiting_) {
    auto it =
        std::find_if(queue.begin(), queue.end(),
                     [&](const AdmissionRequest& w) { return w.id == id; });
    if (it == queue.end()) continue;
    queue.erase(it);
    return true;
  }
  return false;
}

void AdmissionController::MakeExclusive(uint64_t id) {
  for (std::deque<AdmissionRequest>& queue : waiting_) {
    for (AdmissionRequest& work : queue) {
      if (work.id == id) work.exclusive = true;
    }
  }
}

void AdmissionController::RefuseAll(ErrorKind reason, Decisions* decisions) {
  for (std::deque<AdmissionRequest>& queue : waiting_) {
    for (const AdmissionRequest& work : queue)
      Refuse(work, reason, 0, 0, decisions);
    queue.clear();
  }
}

void AdmissionController::SetRateLimit(TimeMs now, std::optional<double> per_s,
                                       Decisions* decisions) {
  limiter_.SetLimit(now, per_s);
  StartWaiting(now, decisions);
}

void AdmissionController::Tick(TimeMs now, Decisions* decisions) {
  MeasureDemand();
  int ahead = 0;
  for (size_t cls = 0; cls < waiting_.size(); ++cls) {
    std::deque<AdmissionRequest>& queue = waiting_[cls];
    for (auto it = queue.begin(); it != queue.end();) {
      // The limit and the demand of more urgent classes may have changed.
      int64_t rate_wait_ms = RateWaitMs(now, it->urgency, ahead);
      bool misses_deadline = MissesDeadline(now, *it, rate_wait_ms);
      // The wait was underestimated on admission: refuse at twice the limit.
      bool waits_too_long =
          now - it->offered + rate_wait_ms > 2 * WaitLimitMs(now, *it);
      if (!misses_deadline && !waits_too_long) {
        ++it;
        ++ahead;
        continue;
      }
      ErrorKind error = misses_deadline ? ErrorKind::kDeadlineUnmeetable
                                        : ErrorKind::kOverloaded;
      RefuseNow(now, *it, error, ExpectedWaitMs(now, *it), decisions);
      it = queue.erase(it);
    }
  }
  RefuseOvertaken(now, decisions);
  StartWaiting(now, decisions);
}

bool AdmissionController::Startable(const AdmissionRequest& work) const {
  return !work.exclusive || exclusive_running_ == 0;
}

void AdmissionController::MeasureDemand() {
  int needed = 0;
  for (size_t cls = 0; cls < waiting_.size(); ++cls) {
    needed += running_by_class_[cls] + static_cast<int>(waiting_[cls].size());
    needed = std::min(needed, settings_.slots);
    int64_t& mean = demand_permille_[cls];
    mean += (needed * kPermille - mean) / settings_.demand_window_ticks;
  }
}

/// Whether work would occupy its slot for longer than the aim of a more urgent
/// class. Shorter work ends before it makes urgent work late.
bool AdmissionController::DelaysUrgent(TimeMs now,
                                       const AdmissionRequest& work) const {
  int64_t run_ms = ExpectedRunMs(now, work);
  for (size_t cls = 0; cls < static_cast<size_t>(work.urgency); ++cls) {
    if (aim_ms_[cls] > 0 && run_ms > aim_ms_[cls]) return true;
  }
  return false;
}

/// Slots occupied by classes more urgent than this work's. If the work would
/// delay them, at least the slots reserved for their recent demand.
int AdmissionController::SlotsForUrgent(TimeMs now,
                                        const AdmissionRequest& work) const {
  size_t urgency = static_cast<size_t>(work.urgency);
  int occupied = 0;
  for (size_t cls = 0; cls < urgency; ++cls) occupied += running_by_class_[cls];
  if (!DelaysUrgent(now, work)) return occupied;
  int64_t needed_permille =
      demand_permille_[urgency - 1] * settings_.reserve_permille / kPermille;
  int needed = static_cast<int>(needed_permille / kPermille);
  int max_reserved = static_cast<int>(
      settings_.slots * settings_.max_reserve_permille / kPermille);
  return std::max(occupied, std::min(needed, max_reserved));
}

/// Whether all free slots are reserved for work more urgent than this.
bool AdmissionController::Reserved(TimeMs now,
                                   const AdmissionRequest& work) const {
  int others = 0;
  for (size_t cls = static_cast<size_t>(work.urgency); cls < waiting_.size();
       ++cls)
    others += running_by_class_[cls];
  return others + SlotsForUrgent(now, work) >= settings_.slots;
}

/// Selects the most urgent class with startable work, unless a less urgent one
/// has enough credit to start.
bool AdmissionController::FindNext(TimeMs now, size_t* urgency) const {
  bool found = false;
  for (size_t cls = 0; cls < waiting_.size(); ++cls) {
    if (waiting_[cls].empty() || !Startable(waiting_[cls].front())) continue;
    const AdmissionRequest& work = waiting_[cls].front();
    bool has_credit = credit_ms_[cls] >= ExpectedRunMs(now, work);
    if (!has_credit && Reserved(now, work)) continue;
    if (!found || has_credit) *urgency = cls;
    found = true;
  }
  return found;
}

void AdmissionController::StartWaiting(TimeMs now, Decisions* decisions) {
  size_t cls = 0;
  while (Running() < UsableSlots() && limiter_.Allows(now) &&
         FindNext(now, &cls)) {
    AdmissionRequest work = std::move(waiting_[cls].front());
    waiting_[cls].pop_front();
    if (now >= work.deadline) {
      RefuseNow(now, work, ErrorKind::kDeadlineUnmeetable, 0, decisions);
      continue;
    }
    Start(now, work, decisions);
  }
}

void AdmissionController::Start(TimeMs now, const AdmissionRequest& work,
                                Decisions* decisions) {
  size_t started = static_cast<size_t>(work.urgency);
  int64_t run_ms = std::max<int64_t>(1, ExpectedRunMs(now, work));
  auto waiting_classes = std::count_if(
      waiting_.begin() + static_cast<std::ptrdiff_t>(started) + 1,
      waiting_.end(), [](const auto& queue) { return !queue.empty(); });
  // Any number of classes together earns what that number does in full.
  int64_t shared_by = std::max<int64_t>(kFullCreditClasses, waiting_classes);
  for (size_t cls = started + 1; cls < waiting_.size(); ++cls) {
    bool waits = !waiting_[cls].empty();
    int64_t earned_ms = run_ms * settings_.floor_permille * kFullCreditClasses /
                        (kPermille * shared_by);
    credit_ms_[cls] = waits ? credit_ms_[cls] + earned_ms : 0;
  }
  credit_ms_[started] = std::max<int64_t>(0, credit_ms_[started] - run_ms);
  constexpr int64_t kShareDivisor = 32;
  for (size_t cls = 0; cls < waiting_.size(); ++cls) {
    int64_t& share = urgent_share_permille_[cls];
    share += ((started < cls ? kPermille : 0) - share) / kShareDivisor;
  }
  limiter_.OnSent(now);
  ++running_by_class_[started];
  exclusive_running_ += work.exclusive ? 1 : 0;
  if (!work.account.empty()) shares_.Charge(now, work.account, run_ms);
  running_.emplace(work.id, RunningWork{work.urgency, work.aim_left_ms,
                                        work.route, work.exclusive, now,
                                        work.cost_ms, work.account, run_ms});
  AdmissionDecision start;
  start.id = work.id;
  decisions->push_back(start);
}

/// Delay beyond the expected wait until there is room for the return of refused
/// work: behind the work that was told to return before, at the rate at which
/// the class's slots finish such work; at most once more the expected wait.
/// Clients without an account are told the expected wait only.
int64_t AdmissionController::ReturnDelayMs(TimeMs now,
                                           const AdmissionRequest& work,
                                           int64_t wait_ms) {
  if (work.account.empty()) return 0;
  int64_t step_ms = ExpectedRunMs(now, work) / AvailableSlots(now, work);
  TimeMs& until = returns_until_[static_cast<size_t>(work.urgency)];
  TimeMs earliest = now + std::min(wait_ms, kMaxRetryAfterMs);
  TimeMs at = std::max(earliest, until);
  until = std::min(at + step_ms, earliest + std::max(wait_ms, step_ms));
  return at - earliest;
}

/// Refuses work with a retry delay between one and two times the expected wait,
/// plus `delay_ms`. The delays are spread, so that clients do not retry at the
/// same time.
void AdmissionController::Refuse(const AdmissionRequest& work, ErrorKind error,
                                 int64_t wait_ms, int64_t delay_ms,
                                 Decisions* decisions) {
  uint64_t phase = (++refusals_ * kSpreadStepPermille) % kPermille;
  int64_t base_ms = std::clamp(wait_ms, kMinRetryAfterMs, kMaxRetryAfterMs);
  int64_t retry_ms =
      base_ms + base_ms * static_cast<int64_t>(phase) / kPermille + delay_ms;
  decisions->push_back({AdmissionDecision::Type::kRefuse, work.id, error,
                        retry_ms, wait_ms, work.tier, false});
}

TargetLoad AdmissionController::Load(TimeMs now, uint64_t ended) const {
  TargetLoad load;
  load.slots = UsableSlots();
  load.mean_run_ms =
      static_cast<int>(std::max<int64_t>(0, run_times_.OverallMs()));
  int ahead = Running() - static_cast<int>(running_.count(ended));
  for (size_t cls = 0; cls < waiting_.size(); ++cls) {
    ahead += static_cast<int>(waiting_[cls].size());
    load.ahead[cls] = ahead;
  }
  AddWork(now, ended, &load);
  if (limiter_.Limit()) LimitLoad(now, &load);
  return load;
}

/// Adds the expected work left. A run that nears or exceeds its expected time
/// is expected to take half of its age longer: with heavy-tailed run times, the
/// longer a run has taken, the longer it still takes.
void AdmissionController::AddWork(TimeMs now, uint64_t ended,
                                  TargetLoad* load) const {
  constexpr int64_t kMaxWorkMs = 1000000000;
  auto cost_of = [&](const auto& work, int64_t aim_ms) {
    return work.cost_ms >= 0 ? work.cost_ms
                             : ExpectedRunMs(now, work.route, aim_ms);
  };
  int64_t running_ms = 0;
  for (const auto& [id, work] : running_) {
    if (id == ended) continue;
    int64_t cost_ms = cost_of(work, work.aim_ms);
    int64_t age_ms = now - work.started;
    running_ms += std::max(cost_ms - age_ms, age_ms / 2);
  }
  load->running_work_ms = static_cast<int>(std::min(running_ms, kMaxWorkMs));
  int64_t queued_ms = 0;
  for (size_t cls = 0; cls < waiting_.size(); ++cls) {
    for (const AdmissionRequest& work : waiting_[cls])
      queued_ms += cost_of(work, work.aim_left_ms);
    load->queued_work_ms[cls] =
        static_cast<int>(std::min(queued_ms, kMaxWorkMs));
  }
}

/// Replaces slots and run time so that their ratio is the rate limit, if that
/// is lower. While the limit allows no request, all slots count as occupied.
void AdmissionController::LimitLoad(TimeMs now, TargetLoad* load) const {
  constexpr double kMsPerSecond = 1000.0;
  double per_ms = *limiter_.Limit() / kMsPerSecond;
  double concurrent = per_ms * load->mean_run_ms;
  if (concurrent >= load->slots) return;
  load->slots = std::max(1, static_cast<int>(concurrent));
  double max_run_ms = static_cast<double>(RateLimiter::kMaxWaitMs);
  double run_ms =
      per_ms * max_run_ms > load->slots ? load->slots / per_ms : max_run_ms;
  load->mean_run_ms = static_cast<int>(run_ms);
  // The rate decides when work starts, not how long it takes.
  load->running_work_ms = -1;
  if (limiter_.Allows(now)) return;
  for (int& ahead : load->ahead) ahead = std::max(ahead, load->slots);
}

}  // namespace banyanloft

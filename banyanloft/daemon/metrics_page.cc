#include "banyanloft/daemon/metrics_page.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <limits>
#include <map>

namespace banyanloft {
namespace {

constexpr char kPrefix[] = "banyanloft_";

const CounterHelp* HelpOf(const std::string& name) {
  const std::vector<CounterHelp>& table = CounterTable();
  auto it =
      std::find_if(table.begin(), table.end(),
                   [&](const CounterHelp& row) { return row.name == name; });
  return it == table.end() ? nullptr : &*it;
}

}  // namespace

const std::vector<CounterHelp>& CounterTable() {
  static const std::vector<CounterHelp> kTable = {
      {"calls_total", "", "Calls received from callers"},
      {"calls_served_total", "rank", "Calls answered by a backend server"},
      {"calls_abandoned_total", "", "Calls whose caller disconnected"},
      {"call_attempts_total", "order",
       "Attempts sent, first attempts and retries"},
      {"refusals_total", "error",
       "Calls answered with an error, by error kind"},
      {"refusals_by_rank_total", "rank",
       "Calls answered with an error, by rank"},
      {"retries_total", "error", "Retries, by the error that caused them"},
      {"retry_verdicts_total", "verdict",
       "Failed attempts, by the decision to retry or not"},
      {"late_answers_total", "", "Answers received after the call had ended"},
      {"key_resends_total", "",
       "Lost attempts with an idempotency key that are resent"},
      {"keys_taken_total", "result",
       "Requests for an idempotency key, by result"},
      {"keys_issued_total", "", "Idempotency keys issued by this daemon"},
      {"keys_joined_total", "",
       "Duplicate requests that joined the run of their idempotency key"},
      {"keys_answered_again_total", "",
       "Duplicate requests answered with the stored outcome of their key"},
      {"runs_offered_total", "", "Attempts received by this target"},
      {"runs_started_total", "rank", "Runs started at the backend server"},
      {"runs_cancelled_total", "",
       "Runs cancelled by the daemon that sent them"},
      {"run_refusals_total", "error", "Attempts rejected by this target"},
      {"backend_crashes_total", "", "Detected crashes of the backend server"},
      {"membership_own_pauses_total", "", "Detected pauses of this process"},
      {"membership_refutations_total", "",
       "Claims about this process that it refuted"},
      {"membership_suspicions_total", "",
       "Members that this process started to suspect"},
      {"membership_unreachable_total", "", "Members that became unreachable"},
      {"distribution_adoptions_total", "source",
       "Configuration versions activated"},
      {"distribution_refusals_total", "reason",
       "Configuration versions rejected"},
      {"distribution_pulls_total", "", "Pull requests sent to peers"},
      {"distribution_pull_replies_total", "kind", "Replies to pull requests"},
      {"distribution_pull_failures_total", "reason", "Pull requests abandoned"},
      {"distribution_platform_reads_total", "kind",
       "Reads and watches of the platform"},
      {"distribution_platform_failures_total", "",
       "Failed reads of the platform"},
      {"peer_messages_dropped_total", "",
       "Messages to peers that could not be sent"},
      {"links_opened_total", "side", "Links opened"},
      {"links_lost_total", "", "Links closed"},
      {"link_messages_total", "direction",
       "Messages sent or received on links"},
      {"link_bytes_total", "direction", "Bytes sent or received on links"},
      {"link_refusals_total", "reason", "Invalid input rejected on links"},
      {"datagrams_total", "direction", "Datagrams sent or received"},
      {"datagram_bytes_total", "direction",
       "Bytes of datagrams sent or received"},
      {"datagram_refusals_total", "reason", "Datagrams rejected or not sent"},
      {"forward_requests_total", "service", "Client requests, by service"},
      {"forward_attempts_total", "distance",
       "Attempts sent, within the zone or to other zones"},
      {"forward_answered_total", "service",
       "Requests answered by a backend server"},
      {"forward_refused_total", "error",
       "Attempts rejected by the target without running, by reason"},
      {"forward_failures_total", "error",
       "Requests answered with an error, by error kind"},
      {"forward_repeats_total", "reason",
       "Requests retried at another target, by reason"},
      {"forward_repeats_denied_total", "reason",
       "Retries denied by the retry budget, by reason"},
      {"forward_abandoned_total", "", "Requests whose client disconnected"},
      {"forward_returned_total", "service",
       "Requests that clients sent again after an earlier wait"},
      {"forward_late_answers_total", "",
       "Answers received after the request had ended"},
      {"run_results_total", "result", "Runs, by result"},
      {"instance_probes_total", "", "Health checks of the backend server"},
      {"instance_reports_ignored_total", "",
       "Ignored reports: late, from another instance or from before a restart"},
      {"config_reads_total", "kind", "Reads and watches of the store"},
      {"config_read_failures_total", "", "Failed reads of the store"},
      {"config_history_lost_total", "",
       "Watches ended because the store no longer had the history"},
      {"config_pulls_total", "",
       "Configuration documents requested from peers"},
      {"config_far_pulls_total", "",
       "Configuration documents requested from peers in another zone, for lack "
       "of one in the same zone"},
      {"config_adopted_total", "source", "Configuration documents activated"},
      {"config_ignored_total", "reason",
       "Configuration documents not activated"},
      {"rendezvous_failures_total", "",
       "Failed reads of the rendezvous records"},
      {"store_calls_total", "", "Calls to the platform's store"},
      {"own_pauses_total", "", "Detected suspensions of this process"},
      {"held_requests_total", "outcome",
       "Requests queued at start-up until a configuration version arrived"},
      {"peers_silent_total", "", "Peers that became silent"},
      {"peer_messages_unexpected_total", "",
       "Peer messages of a type that this kind of daemon does not handle"},
      {"queue_refusals_total", "queue",
       "Messages rejected because a queue between threads was full"},
  };
  return kTable;
}

const std::vector<HistogramHelp>& HistogramTable() {
  static const std::vector<HistogramHelp> kTable = {
      {"queue_ms", "Time requests waited for a slot at this target, in ms"},
      {"run_ms", "Time requests ran at the backend server, in ms"},
      {"link_ms",
       "Round-trip time of answered attempts less waiting and running, in ms"},
      {"answered_ms", "Time until the backend server's answer was sent, in ms"},
      {"failed_ms",
       "Time until an error answer of this system was sent, in ms"},
  };
  return kTable;
}

namespace {

prometheus::ClientMetric MetricOf(const Histograms::Key& key,
                                  const Histograms::Series& series) {
  prometheus::ClientMetric metric;
  metric.label.push_back({"route", std::get<1>(key)});
  metric.label.push_back({"urgency", std::to_string(std::get<2>(key))});
  metric.histogram.sample_count = series.count;
  metric.histogram.sample_sum = static_cast<double>(series.sum_ms);
  uint64_t cumulative = 0;
  for (size_t i = 0; i < series.counts.size(); ++i) {
    cumulative += series.counts[i];
    bool last = i == Histograms::kBoundsMs.size();
    double bound = last ? std::numeric_limits<double>::infinity()
                        : static_cast<double>(Histograms::kBoundsMs[i]);
    metric.histogram.bucket.push_back({cumulative, bound});
  }
  return metric;
}

void AddHistograms(const std::vector<const Histograms*>& groups,
                   std::vector<prometheus::MetricFamily>* list) {
  for (const HistogramHelp& row : HistogramTable()) {
    prometheus::MetricFamily family;
    family.name = kPrefix + row.name;
    family.help = row.help;
    family.type = prometheus::MetricType::Histogram;
    for (const Histograms* group : groups) {
      for (const auto& [key, series] : group->All()) {
        if (std::get<0>(key) == row.name)
          family.metric.push_back(MetricOf(key, series));
      }
    }
    if (!family.metric.empty()) list->push_back(std::move(family));
  }
}

}  // namespace

std::string MetricsText(const std::vector<Counters>& counters,
                        const std::vector<Gauge>& gauges,
                        const std::vector<const Histograms*>& histograms) {
  std::map<std::string, prometheus::MetricFamily> families;
  for (const Counters& group : counters) {
    for (const auto& [key, value] : group.All()) {
      const auto& [name, label] = key;
      const CounterHelp* help = HelpOf(name);
      prometheus::MetricFamily& family = families[name];
      family.name = kPrefix + name;
      family.type = prometheus::MetricType::Counter;
      if (help != nullptr) family.help = help->help;
      prometheus::ClientMetric metric;
      metric.counter.value = static_cast<double>(value);
      bool labelled = help != nullptr && !help->label.empty();
      if (labelled) metric.label.push_back({help->label, label});
      family.metric.push_back(std::move(metric));
    }
  }
  std::vector<prometheus::MetricFamily> list;
  for (auto& [name, family] : families) list.push_back(std::move(family));
  for (const Gauge& gauge : gauges) {
    prometheus::MetricFamily family;
    family.name = kPrefix + gauge.name;
    family.help = gauge.help;
    family.type = prometheus::MetricType::Gauge;
    prometheus::ClientMetric metric;
    metric.gauge.value = gauge.value;
    family.metric.push_back(std::move(metric));
    list.push_back(std::move(family));
  }
  AddHistograms(histograms, &list);
  return prometheus::TextSerializer().Serialize(list);
}

}  // namespace banyanloft

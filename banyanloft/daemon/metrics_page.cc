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
      {"calls_total", "", "Calls that callers handed in"},
      {"calls_served_total", "rank", "Calls answered by a backend server"},
      {"calls_abandoned_total", "", "Calls whose caller went away"},
      {"call_attempts_total", "order", "Attempts sent, first and retried"},
      {"refusals_total", "error", "Calls answered with an error kind"},
      {"refusals_by_rank_total", "rank", "The same by rank"},
      {"retries_total", "error", "Retries by the error that caused them"},
      {"retry_verdicts_total", "verdict",
       "Failed attempts by what was decided"},
      {"late_answers_total", "", "Answers that came after the call had ended"},
      {"key_resends_total", "",
       "Keyed attempts lost on the way, to be sent again"},
      {"keys_taken_total", "result", "Requests for a key by result"},
      {"keys_issued_total", "", "Keys issued as home"},
      {"keys_joined_total", "", "Copies of a key that joined its run"},
      {"keys_answered_again_total", "", "Copies of a key told its outcome"},
      {"runs_offered_total", "", "Attempts that reached this target"},
      {"runs_started_total", "rank", "Runs handed to the backend server"},
      {"runs_cancelled_total", "", "Runs withdrawn by the first daemon"},
      {"run_refusals_total", "error", "Attempts this target refused"},
      {"runs_over_share_refused_total", "",
       "Attempts refused of client accounts that were above their share"},
      {"runs_displaced_total", "",
       "Queued attempts of such accounts refused in favour of others"},
      {"backend_crashes_total", "", "Crashes of the backend server noticed"},
      {"crash_suspicions_learned_total", "source",
       "Suspicions of crashing a backend server that came by gossip or from "
       "the store"},
      {"store_objects_malformed_total", "",
       "Objects read from the store that were malformed and skipped"},
      {"suspicion_store_reads_total", "",
       "Reads of the stored crash suspicions"},
      {"suspicion_store_writes_total", "",
       "Writes of the stored crash suspicions"},
      {"suspicion_store_failures_total", "error",
       "Calls for the stored crash suspicions that failed"},
      {"rollout_phases_total", "phase",
       "Phases of roll-outs that this daemon learned of or decided"},
      {"rollout_share_changes_total", "",
       "Changes of a roll-out's share decided here"},
      {"rollout_takeovers_total", "",
       "Times this daemon became the deciding member of a roll-out"},
      {"rollout_evidence_sent_total", "",
       "Reports on the backend server sent to deciding members"},
      {"rollout_evidence_received_total", "",
       "Reports received as the deciding member"},
      {"rollout_evidence_ignored_total", "",
       "Reports received while this daemon did not decide"},
      {"rollout_refusal_changes_total", "state",
       "Times the backend server's version became refused (on) or allowed"},
      {"rollout_store_reads_total", "type",
       "Reads of the orders of roll-outs (list or watch)"},
      {"rollout_store_writes_total", "phase",
       "Writes of the status of a roll-out"},
      {"rollout_store_failures_total", "error",
       "Calls for the orders of roll-outs that failed"},
      {"rollout_orders_malformed_total", "",
       "Orders of roll-outs that were malformed and skipped"},
      {"suspect_runs_started_total", "",
       "Runs started of requests suspected of crashing backend servers"},
      {"membership_own_pauses_total", "", "Pauses of this process noticed"},
      {"membership_refutations_total", "", "Claims about this process refuted"},
      {"membership_suspicions_total", "",
       "Members this process began to suspect"},
      {"membership_unreachable_total", "", "Members that became unreachable"},
      {"membership_records_sent_total", "zone",
       "Member records gossiped to members of the same or another zone"},
      {"distribution_adoptions_total", "source", "Versions taken in force"},
      {"distribution_refusals_total", "reason", "Versions refused"},
      {"distribution_pulls_total", "", "Pulls sent to peers"},
      {"distribution_pull_replies_total", "kind", "Replies to pulls"},
      {"distribution_pull_failures_total", "reason", "Pulls given up"},
      {"distribution_platform_reads_total", "kind",
       "Reads and watches of the platform"},
      {"distribution_platform_failures_total", "",
       "Reads of the platform that failed"},
      {"peer_messages_dropped_total", "",
       "Messages to peers that could not be sent"},
      {"links_opened_total", "side", "Links opened"},
      {"links_lost_total", "", "Links that ended"},
      {"link_messages_total", "direction", "Messages on links"},
      {"link_pings_total", "", "Pings sent on links"},
      {"link_paced_total", "",
       "Pauses of large messages, so that small ones are not delayed"},
      {"link_bytes_total", "direction", "Bytes on links"},
      {"link_refusals_total", "reason", "Input on links that was refused"},
      {"datagrams_total", "direction", "Datagrams"},
      {"datagram_bytes_total", "direction", "Bytes of datagrams"},
      {"datagram_refusals_total", "reason", "Datagrams refused or not sent"},
      {"http_requests_refused_total", "reason",
       "Requests of clients refused while they were received"},
      {"http_bodies_given_up_total", "",
       "Incomplete request bodies given up for lack of memory"},
      {"http_connections_given_up_total", "",
       "Connections of clients that did not read responses, closed for lack of "
       "memory"},
      {"http_idle_connections_lost_total", "server",
       "Idle connections that the server closed, or on which it sent bytes"},
      {"http_requests_resent_total", "server",
       "Requests to the server sent again, because it had closed the idle "
       "connection"},
      {"forward_requests_total", "service", "Requests of clients by service"},
      {"forward_attempts_total", "distance",
       "Attempts sent, within the zone and beyond"},
      {"forward_answered_total", "service",
       "Requests answered by a backend server"},
      {"forward_refused_total", "error", "Attempts refused unrun, by reason"},
      {"forward_failures_total", "error",
       "Requests answered with an error kind"},
      {"forward_repeats_total", "reason",
       "Requests offered to a second target"},
      {"forward_repeats_denied_total", "reason",
       "The same, kept back by the retry budget"},
      {"forward_abandoned_total", "", "Requests whose client went away"},
      {"forward_returned_total", "service",
       "Requests of clients that had waited before"},
      {"forward_late_answers_total", "",
       "Answers that came after the request had ended"},
      {"forward_moved_total", "",
       "Attempts that moved on to another target because of a longer wait "
       "than expected"},
      {"runs_moved_on_total", "",
       "Attempts that this target let move on because of their wait"},
      {"quota_taken_total", "source",
       "Requests of limited accounts that were let through, by where their "
       "token came from: held, asked for, lease, own part, ahead of it"},
      {"quota_refused_total", "reason", "Requests refused because of a quota"},
      {"quota_tokens_expired_total", "", "Tokens that ended without use"},
      {"quota_tokens_returned_total", "",
       "Tokens of requests that were refused unrun"},
      {"quota_ask_messages_total", "way",
       "Messages that ask homes for tokens, and asks to this daemon itself"},
      {"quota_asks_unanswered_total", "", "Asks repeated without an answer"},
      {"quota_asks_total", "result",
       "Asks for an account that came to this daemon, by result"},
      {"quota_tokens_granted_total", "", "Tokens granted as home"},
      {"quota_leases_reserved_total", "",
       "Times that a daemon with a lease fell silent"},
      {"quota_handovers_total", "direction",
       "Accounts passed between their homes"},
      {"run_results_total", "result", "Runs by how they ended"},
      {"instance_probes_total", "", "Health questions to the backend server"},
      {"instance_probes_reset_total", "",
       "Health questions reset by a backend server that may be full"},
      {"backend_limit_changes_total", "",
       "Changes of the request rate that the backend server accepts"},
      {"backend_limits_malformed_total", "",
       "Responses of the backend server whose limit is no number"},
      {"backend_leaving_notices_total", "",
       "Times that responses began to say that the backend server leaves"},
      {"instance_reports_ignored_total", "",
       "Reports that were late, foreign or of an earlier start"},
      {"config_reads_total", "kind", "Reads and watches of the store"},
      {"config_read_failures_total", "", "Reads of the store that failed"},
      {"config_store_restored_total", "",
       "Times that the store came back from an older copy"},
      {"config_generation_malformed_total", "",
       "Replies of the store whose generation is no number"},
      {"config_history_lost_total", "", "Watches whose history was dropped"},
      {"config_pulls_total", "", "Documents asked of peers"},
      {"config_far_pulls_total", "",
       "The same of peers in another zone, since none was near"},
      {"config_adopted_total", "source", "Documents taken in force"},
      {"config_ignored_total", "reason", "Documents not taken in force"},
      {"rendezvous_failures_total", "",
       "Reads of the meeting place that failed"},
      {"store_calls_total", "", "Calls to the platform's store"},
      {"own_pauses_total", "", "Suspensions of this process noticed"},
      {"held_requests_total", "outcome",
       "Requests held at the start until a version came"},
      {"peers_silent_total", "", "Peers that showed no sign for a while"},
      {"peer_messages_unexpected_total", "",
       "Messages of peers that this kind of daemon does not serve"},
      {"queue_refusals_total", "queue",
       "Messages refused by a full queue between threads"},
  };
  return kTable;
}

const std::vector<HistogramHelp>& HistogramTable() {
  static const std::vector<HistogramHelp> kTable = {
      {"queue_ms",
       "Time that requests waited for a slot at this target, in ms"},
      {"run_ms", "Time that requests ran at the backend server, in ms"},
      {"link_ms",
       "Time of answered attempts beyond waiting and running, in ms"},
      {"expected_ms",
       "Time to a response that was expected when a target was selected, in "
       "ms"},
      {"answered_ms", "Time until a backend server's answer went out, in ms"},
      {"failed_ms", "Time until an error of this system went out, in ms"},
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

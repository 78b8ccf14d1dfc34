#include "banyanloft/daemon/reference.h"

#include <fmt/format.h>

#include "banyanloft/core/error.h"
#include "banyanloft/daemon/caller_api.h"
#include "banyanloft/daemon/daemon_options.h"
#include "banyanloft/daemon/metrics_page.h"

namespace banyanloft {
namespace {

struct HeaderRow {
  const char* name;
  const char* where;
  const char* meaning;
};

constexpr HeaderRow kHeaders[] = {
    {caller_api::kKeyHeader, "request, response to /keys/NAME",
     "idempotency key of the call"},
    {caller_api::kRankHeader, "request",
     "requested rank; can only lower the route's rank"},
    {caller_api::kTimeoutHeader, "request",
     "caller's timeout, in ms; can only shorten the route's timeout"},
    {caller_api::kDepthHeader, "request",
     "number of daemons that the chain of calls has passed through"},
    {caller_api::kRunHeader, "response", "not_run, ran or unknown"},
    {caller_api::kErrorHeader, "response", "error kind"},
    {caller_api::kRetryHeader, "response", "no, later or resend_key"},
    {caller_api::kRetriedHeader, "response",
     "1: this daemon or a nested call has retried"},
    {caller_api::kTargetHeader, "response",
     "member that ran or rejected the call"},
    {caller_api::kVersionHeader, "response",
     "configuration version used to route the call"},
    {caller_api::kShedHeader, "response of a backend server",
     "the request was rejected before any of it was executed"},
};

struct EventRow {
  const char* name;
  const char* meaning;
};

constexpr EventRow kEvents[] = {
    {"daemon_started",
     "the daemon has started; listening addresses, member id and zone"},
    {"drain_began", "graceful shutdown started; requests in progress"},
    {"drain_finished",
     "graceful shutdown ends the process; time since it started, requests, "
     "runs and output that are given up, requests of peers that came late"},
    {"crash_suspicions_learned",
     "other daemons suspect requests of crashing backend servers; number, "
     "requests tracked, fingerprints refused from now on"},
    {"http_body_given_up",
     "the body of a request was given up while it arrived, because all bodies "
     "exceed their memory; bytes received, bytes held by all"},
    {"http_connection_given_up",
     "a connection was closed because its client had not read a response, and "
     "all responses exceed their memory; requests abandoned, bytes held by "
     "all"},
    {"http_request_invalid",
     "a request cannot be written as HTTP and fails unsent; method, detail"},
    {"http_request_refused",
     "a client sent a request that HTTP forbids; method, detail"},
    {"http_request_resent",
     "a server had closed the idle connection on which a request was to be "
     "written; it is written on another one; server, method, target, detail"},
    {"http_response_invalid",
     "a response cannot be written as HTTP; its connection was closed"},
    {"instance_changed",
     "state, slots or service of the backend server changed; source, time "
     "since the daemon started"},
    {"instance_crashed",
     "the backend server crashed; requests that were running"},
    {"instance_health_check",
     "the health check of the backend server has another result than the last "
     "one; result now and before, status"},
    {"instance_leaving", "a response says that the backend server leaves"},
    {"instance_limit",
     "the request rate that the backend server accepts changed; limit now and "
     "before, runs started so far"},
    {"instance_limit_malformed",
     "a response names a limit that is no number; its text"},
    {"instance_lost", "requests can no longer reach the backend server"},
    {"instance_report_ignored",
     "a report was late, foreign or of an earlier start; its start and "
     "sequence, and those known"},
    {"instance_report_unreadable",
     "a report of the backend server cannot be parsed; detail"},
    {"instance_started", "the backend server restarted"},
    {"link_lost", "the link to a peer was closed"},
    {"members_found",
     "the first other live member was found; members alive and known, time "
     "since the daemon started"},
    {"members_lost", "no other live member is known any more"},
    {"own_pause", "this process was suspended; duration"},
    {"quota_refusing",
     "requests of a client account are refused because of its quota, at most "
     "one line per account and 10 s; reason, home, estimated rate here"},
    {"request_held",
     "request queued at start-up until the first configuration version "
     "arrives"},
    {"request_abandoned", "the client disconnected; target and elapsed time"},
    {"request_answered",
     "answered by a backend server (logged at level debug)"},
    {"request_failed",
     "answered with an error; error kind and the values that led to it"},
    {"request_malformed", "the request violates the protocol; detail"},
    {"request_refused",
     "rejected before it was accepted for routing; error kind"},
    {"rollout_call_failed",
     "a call for the orders of roll-outs failed and is tried again; error"},
    {"rollout_decided",
     "the deciding member ends a roll-out; verdict and evidence"},
    {"rollout_decider",
     "this daemon became the deciding member of a roll-out; the one before and "
     "how long it was silent"},
    {"rollout_ordered",
     "an order of a roll-out became known; versions, source, time allowed"},
    {"rollout_phase",
     "a roll-out entered another phase; versions, phase, source, age"},
    {"rollout_share",
     "the share of the new version changed; servers that get it, evidence"},
    {"run_displaced",
     "queued work of a client account above its share makes room for others; "
     "how far it was above when it arrived"},
    {"run_failed", "a run ended without a response; result"},
    {"run_refused",
     "the target rejected the request without running it; account, load and "
     "estimates"},
    {"suspect_run_started",
     "a request suspected of crashing backend servers is run; crashes known "
     "here"},
    {"suspicions_call_failed",
     "a call for the stored crash suspicions failed and is tried again; error"},
    {"settings_rejected", "the settings file is invalid; all errors"},
    {"settings_kept",
     "changed settings were ignored during a graceful shutdown"},
    {"settings_reloaded",
     "settings reloaded; cause, settings applied, settings that need a "
     "restart"},
    {"store_generation_malformed",
     "a reply of the store names a generation that is no number; its text"},
    {"store_objects_malformed",
     "objects read from the store were skipped, as another program wrote them "
     "malformed; numbers skipped and read"},
    {"store_restored",
     "the store came back from an older copy; its revision and the one known"},
    {"store_lost", "calls to the store are failing; reason"},
    {"store_regained", "calls to the store succeed again"},
    {"version_adopted", "a configuration version was activated; source"},
    {"version_rejected",
     "a configuration document is damaged or invalid; problem"},
    {"daemon_stopped", "graceful shutdown completed"},
    {"start_failed", "a listening address cannot be bound; detail"},
    {"version_in_force",
     "a configuration version was activated; version and source"},
};

struct LimitRow {
  const char* name;
  const char* source;
  const char* default_value;
  const char* meaning;
};

/// Limits of what clients may take (docs/design/client_connections.md).
constexpr LimitRow kLimits[] = {
    {"limits.memory_mb", "settings file", "1024",
     "memory of the instance, in MB; request bodies above 16 KiB take at most "
     "a "
     "quarter of it, or what one body of `max_body_bytes` needs, up to 45 %; "
     "responses above 16 KiB that clients have not read take at most a fifth; "
     "all smaller bodies, and all smaller responses, take at most a sixteenth "
     "each; needs a restart"},
    {"max_header_bytes", "configuration", "-",
     "longest header and trailers of a request together, in bytes"},
    {"max_pipelined_requests", "built in", "8",
     "requests of one connection that are in progress at a time; more are not "
     "read until a response has been written"},
};

}  // namespace

std::string ReferenceText() {
  std::string out =
      "# Reference\n\nGenerated by `banyanloft_reference` from the tables in "
      "the code; a test compares this page with its output.\n\n"
      "## Settings of banyanloftd\n\n| Flag | Variable | Default | Meaning "
      "|\n| --- | --- | --- | --- |\n";
  DaemonOptions options;
  for (const Option& option : options.Table().All()) {
    out += fmt::format("| `--{}` | `{}` | {} | {} |\n", option.name,
                       OptionTable::EnvironmentVariableOf(option.name),
                       option.required ? "required" : option.default_value,
                       option.help);
  }
  out +=
      "\n## Limits of banyanloft_sidecar\n\n| Limit | Source | Default | "
      "Meaning |\n| --- | --- | --- | --- |\n";
  for (const LimitRow& row : kLimits)
    out += fmt::format("| `{}` | {} | {} | {} |\n", row.name, row.source,
                       row.default_value, row.meaning);
  out += "\n## Headers\n\n| Header | Where | Meaning |\n| --- | --- | --- |\n";
  for (const HeaderRow& row : kHeaders)
    out +=
        fmt::format("| `{}` | {} | {} |\n", row.name, row.where, row.meaning);
  out +=
      "\n## Error kinds\n\n| Kind | Status | Run state | Retry hint | Meaning "
      "|\n| --- | --- | --- | --- | --- |\n";
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorInfo& row = ErrorInfoOf(static_cast<ErrorKind>(i));
    out +=
        fmt::format("| `{}` | {} | {} | {} | {} |\n", row.name, row.http_status,
                    NameOf(row.run_state), NameOf(row.retry_hint), row.meaning);
  }
  out +=
      "\nA rejection of a call with an idempotency key is reported with run "
      "state `unknown` unless it comes from the daemon that issued the key.\n\n"
      "## Metrics\n\n| Counter | Label | Meaning |\n| --- | --- | --- |\n";
  for (const CounterHelp& row : CounterTable()) {
    out += fmt::format("| `banyanloft_{}` | {} | {} |\n", row.name,
                       row.label.empty() ? "-" : row.label, row.help);
  }
  out +=
      "\nHistograms, each labelled by route and urgency:\n\n"
      "| Histogram | Meaning |\n| --- | --- |\n";
  for (const HistogramHelp& row : HistogramTable())
    out += fmt::format("| `banyanloft_{}` | {} |\n", row.name, row.help);
  out += "\n## Log events\n\n| Event | Meaning |\n| --- | --- |\n";
  for (const EventRow& row : kEvents)
    out += fmt::format("| `{}` | {} |\n", row.name, row.meaning);
  return out;
}

}  // namespace banyanloft

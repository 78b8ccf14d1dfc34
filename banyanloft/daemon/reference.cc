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
    {caller_api::kKeyHeader, "request, answer to /keys/NAME",
     "key of the call"},
    {caller_api::kRankHeader, "request",
     "rank asked for; can only lower the route's"},
    {caller_api::kTimeoutHeader, "request",
     "time the caller waits, in ms; can only shorten the route's"},
    {caller_api::kDepthHeader, "request",
     "daemons that the chain of calls has passed"},
    {caller_api::kRunHeader, "answer", "not_run, ran or unknown"},
    {caller_api::kErrorHeader, "answer", "error kind"},
    {caller_api::kRetryHeader, "answer", "no, later or resend_key"},
    {caller_api::kRetriedHeader, "answer",
     "1: a layer here or below has retried"},
    {caller_api::kTargetHeader, "answer",
     "member that ran or refused the call"},
    {caller_api::kVersionHeader, "answer",
     "configuration version the call was routed by"},
    {caller_api::kShedHeader, "answer of a backend server",
     "it refused the work before running any of it"},
};

struct EventRow {
  const char* name;
  const char* meaning;
};

constexpr EventRow kEvents[] = {
    {"daemon_started", "addresses, member id and zone"},
    {"drain_began", "a planned stop was asked for; work in hand"},
    {"instance_changed",
     "the backend server's state, slots or service changed"},
    {"instance_crashed", "it crashed; requests it was running"},
    {"instance_lost", "requests no longer reach it"},
    {"instance_report_unreadable", "a report cannot be understood; detail"},
    {"instance_started", "it started anew"},
    {"link_lost", "the link to a peer ended"},
    {"own_pause", "this process was suspended; for how long"},
    {"request_held",
     "the daemon has just started and waits for its first version"},
    {"request_abandoned", "its client left; target and time so far"},
    {"request_answered", "answered by a backend server (level debug)"},
    {"request_failed", "answered with an error kind; what decided it"},
    {"request_malformed", "breaks the protocol; detail"},
    {"request_refused", "refused before it came into hand; error kind"},
    {"run_failed", "a run ended without an answer; how"},
    {"run_refused", "the target refused it unrun; load and estimates"},
    {"settings_rejected", "the settings file; every mistake"},
    {"settings_kept", "the settings changed during a planned stop"},
    {"settings_reloaded",
     "the settings were read again; cause, what came into force, what takes a "
     "restart"},
    {"store_lost", "calls to the store fail; reason"},
    {"store_regained", "calls to the store succeed again"},
    {"version_adopted", "a configuration version is in force; source"},
    {"version_rejected", "a document cannot be read; problem"},
    {"daemon_stopped", "a planned stop has finished"},
    {"start_failed", "an address cannot be bound; detail"},
    {"version_in_force", "a version was adopted; version and source"},
};

}  // namespace

std::string ReferenceText() {
  std::string out =
      "# Reference\n\nMade by `banyanloft_reference` from the tables in the "
      "code; a test keeps it equal.\n\n"
      "## Settings of banyanloftd\n\n| Flag | Variable | Default | Meaning "
      "|\n| --- | --- | --- | --- |\n";
  DaemonOptions options;
  for (const Option& option : options.Table().All()) {
    out += fmt::format("| `--{}` | `{}` | {} | {} |\n", option.name,
                       OptionTable::VariableOf(option.name),
                       option.required ? "required" : option.default_value,
                       option.help);
  }
  out += "\n## Headers\n\n| Header | Where | Meaning |\n| --- | --- | --- |\n";
  for (const HeaderRow& row : kHeaders)
    out +=
        fmt::format("| `{}` | {} | {} |\n", row.name, row.where, row.meaning);
  out +=
      "\n## Error kinds\n\n| Kind | Status | Run state | Retry hint | Meaning "
      "|\n| --- | --- | --- | --- | --- |\n";
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorAnswer& row = ErrorAnswerOf(static_cast<ErrorKind>(i));
    out +=
        fmt::format("| `{}` | {} | {} | {} | {} |\n", row.name, row.http_status,
                    NameOf(row.run_state), NameOf(row.retry_hint), row.meaning);
  }
  out +=
      "\nA refusal of a keyed call that its home did not speak itself is told "
      "as unknown.\n\n"
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

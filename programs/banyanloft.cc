#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

#include "banyanloft/config/json.h"
#include "banyanloft/config/print.h"
#include "banyanloft/core/option_table.h"
#include "banyanloft/core/random.h"
#include "banyanloft/operator/operator_session.h"
#include "banyanloft/operator/request_tracer.h"
#include "banyanloft/store/http_platform.h"

namespace banyanloft {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitInvalidConfiguration = 3;
constexpr int kExitConflict = 4;
constexpr int kExitNotConverged = 5;
constexpr int kExitUnavailable = 6;
constexpr int64_t kPlatformTimeoutMs = 3000;
constexpr int64_t kWaitPollMs = 200;

constexpr char kUsage[] =
    "banyanloft: command-line tool for operators\n\n"
    "  banyanloft plan FILE          print the configuration in FILE and its "
    "difference from the active one\n"
    "  banyanloft apply FILE         print the difference, then apply it\n"
    "  banyanloft show               print the active configuration\n"
    "  banyanloft status             print the versions in use per "
    "availability zone, and lagging members with reasons\n"
    "  banyanloft history            print the accepted versions, newest "
    "first\n"
    "  banyanloft rollback VERSION   apply the content of an earlier version "
    "as a new version\n"
    "  banyanloft explain NAME       print how a daemon routes NAME "
    "(--daemon ADMIN_ADDRESS)\n"
    "  banyanloft explain ID LOG...  trace a request through the logs of "
    "several processes, and print the cause of its result\n"
    "  banyanloft inspect            print the state of a daemon (--daemon "
    "ADMIN_ADDRESS)\n\n"
    "Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid "
    "configuration, 4 conflict with another change,\n"
    "5 not converged, 6 no response from the platform.\n\n";

/// Command-line settings.
struct CommandSettings {
  std::string platform;
  std::string daemon;
  std::string scheme;
  std::string output = "text";
  std::string author = "operator";
  std::string note;
  int64_t wait_ms = 0;
};

/// Executes one command line.
class Command {
 public:
  explicit Command(CommandSettings settings) : settings_(std::move(settings)) {}

  int Run(const std::vector<std::string>& arguments);

 private:
  int Plan(const std::string& file, bool apply);
  int Show();
  int Status();
  int History();
  int Rollback(const std::string& version);
  int QueryDaemon(const std::string& target);
  int ExplainRequest(const std::vector<std::string>& arguments);
  int ShowOrApply(OperatorSession* session, const ChangePlan& plan, bool apply);
  int WaitUntilActive(OperatorSession* session, uint64_t version);
  OperatorSession* Session();
  bool Json() const { return settings_.output == "json"; }
  int SchemeOf(const Configuration& configuration) const {
    return configuration.SchemeIndex(settings_.scheme);
  }
  int Fail(const Error& error) const;

  CommandSettings settings_;
  std::unique_ptr<HttpPlatform> platform_;
  std::unique_ptr<OperatorSession> session_;
};

int Command::Fail(const Error& error) const {
  fmt::print(stderr, "banyanloft: {}: {}\n", NameOf(error.kind), error.detail);
  switch (error.kind) {
    case ErrorKind::kConflict:
      return kExitConflict;
    case ErrorKind::kInvalidConfiguration:
      return kExitInvalidConfiguration;
    case ErrorKind::kPlatformUnavailable:
      return kExitUnavailable;
    default:
      return kExitFailed;
  }
}

OperatorSession* Command::Session() {
  Endpoint endpoint;
  ParseEndpoint(settings_.platform, &endpoint);
  platform_ = std::make_unique<HttpPlatform>(endpoint, kPlatformTimeoutMs);
  OperatorSettings session;
  session.author = settings_.author;
  session.seed = SeedFromDevice();
  session_ = std::make_unique<OperatorSession>(
      session, platform_.get(), [](int64_t ms) {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
      });
  return session_.get();
}

int Command::Run(const std::vector<std::string>& arguments) {
  const std::string& command = arguments[0];
  if (command == "explain" && arguments.size() > 2)
    return ExplainRequest(arguments);
  bool needs_argument = command == "plan" || command == "apply" ||
                        command == "rollback" || command == "explain";
  bool needs_daemon = command == "explain" || command == "inspect";
  if (arguments.size() != (needs_argument ? 2U : 1U)) {
    fmt::print(stderr, "banyanloft: '{}' takes {}\n", command,
               needs_argument ? "exactly one argument" : "no arguments");
    return kExitUsage;
  }
  const std::string& missing =
      needs_daemon ? settings_.daemon : settings_.platform;
  if (missing.empty()) {
    fmt::print(stderr, "banyanloft: '{}' requires --{}\n", command,
               needs_daemon ? "daemon" : "platform");
    return kExitUsage;
  }
  if (command == "plan" || command == "apply")
    return Plan(arguments[1], command == "apply");
  if (command == "show") return Show();
  if (command == "status") return Status();
  if (command == "history") return History();
  if (command == "rollback") return Rollback(arguments[1]);
  if (command == "explain") return QueryDaemon("/explain?name=" + arguments[1]);
  if (command == "inspect") return QueryDaemon("/status");
  fmt::print(stderr, "banyanloft: unknown command '{}'; see --help\n", command);
  return kExitUsage;
}

/// Arguments: the command, the request id, log files.
int Command::ExplainRequest(const std::vector<std::string>& arguments) {
  RequestTracer tracer;
  size_t skipped = 0;
  for (size_t i = 2; i < arguments.size(); ++i) {
    std::ifstream stream(arguments[i]);
    if (!stream) {
      fmt::print(stderr, "banyanloft: cannot read {}\n", arguments[i]);
      return kExitUsage;
    }
    for (std::string text; std::getline(stream, text);) {
      std::optional<LogLine> line = ParseLogLine(text);
      if (line) tracer.Add(arguments[i], std::move(*line));
      skipped += line ? 0 : 1;
    }
  }
  std::vector<std::string> lines = tracer.Trace(arguments[1]);
  if (lines.empty()) {
    fmt::print(stderr,
               "banyanloft: none of {} log lines contains request {} ({} lines "
               "in another format were skipped)\n",
               tracer.Size(), arguments[1], skipped);
    return kExitFailed;
  }
  if (Json()) {
    fmt::print("{}\n", banyanloft::Json(lines).dump(2));
    return kExitOk;
  }
  for (const std::string& line : lines) fmt::print("{}\n", line);
  return kExitOk;
}

int Command::Plan(const std::string& file, bool apply) {
  std::ifstream stream(file);
  if (!stream) {
    fmt::print(stderr, "banyanloft: cannot read {}\n", file);
    return kExitUsage;
  }
  std::stringstream text;
  text << stream.rdbuf();
  Result<Configuration> configuration = ConfigurationFromJson(text.str());
  if (const Error* error = ErrorOf(configuration)) return Fail(*error);

  // Report errors in the file even if the platform does not respond.
  std::vector<ConfigurationError> errors =
      ValidateConfiguration(*ValueOf(configuration));
  for (const ConfigurationError& error : errors) {
    fmt::print(stderr, "banyanloft: {}: {}\n", error.path, error.problem);
  }
  if (!errors.empty()) return kExitInvalidConfiguration;
  OperatorSession* session = Session();
  Result<ChangePlan> plan =
      session->Plan(std::move(*ValueOf(configuration)), settings_.note);
  if (const Error* error = ErrorOf(plan)) return Fail(*error);
  return ShowOrApply(session, *ValueOf(plan), apply);
}

int Command::ShowOrApply(OperatorSession* session, const ChangePlan& plan,
                         bool apply) {
  int scheme = SchemeOf(plan.target);
  uint64_t base = plan.base.head.Newest().version;
  std::string difference =
      DiffConfigurations(plan.base.configuration, plan.target, scheme);
  if (Json() && !apply) {
    fmt::print("{}\n",
               banyanloft::Json{{"base_version", base},
                                {"difference", difference},
                                {"configuration",
                                 ParseJson(ConfigurationToJson(plan.target))}}
                   .dump(2));
  } else if (!Json()) {
    if (!apply)
      fmt::print("configuration to apply:\n{}\n",
                 PrintConfiguration(plan.target, scheme));
    fmt::print("difference from version {}:\n{}", base,
               difference.empty() ? "(none)\n" : difference);
  }
  if (!apply) return kExitOk;
  if (!plan.HasChanges()) {
    fmt::print("nothing to apply: version {} has the same content\n", base);
    return kExitOk;
  }
  Result<HeadEntry> applied = session->Apply(plan);
  if (const Error* error = ErrorOf(applied)) return Fail(*error);
  const HeadEntry& entry = *ValueOf(applied);
  if (Json()) {
    fmt::print("{}\n", banyanloft::Json{{"version", entry.version},
                                        {"change", entry.change_id}}
                           .dump());
  } else {
    fmt::print("accepted as version {} (change {})\n", entry.version,
               entry.change_id);
  }
  return settings_.wait_ms > 0 ? WaitUntilActive(session, entry.version)
                               : kExitOk;
}

int Command::WaitUntilActive(OperatorSession* session, uint64_t version) {
  for (int64_t waited = 0; waited <= settings_.wait_ms; waited += kWaitPollMs) {
    Result<std::vector<ZoneSummary>> zones = session->Status();
    if (const Error* error = ErrorOf(zones)) return Fail(*error);
    bool all = !ValueOf(zones)->empty();
    for (const ZoneSummary& zone : *ValueOf(zones)) {
      for (const auto& [held_version, members] : zone.versions)
        all = all && held_version >= version;
    }
    if (all) {
      fmt::print("version {} is active in all zones\n", version);
      return kExitOk;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kWaitPollMs));
  }
  fmt::print(stderr,
             "banyanloft: version {} is not active everywhere yet; see "
             "'banyanloft status'\n",
             version);
  return kExitNotConverged;
}

int Command::Show() {
  Result<ActiveConfiguration> active = Session()->Read();
  if (const Error* error = ErrorOf(active)) return Fail(*error);
  const Configuration& configuration = ValueOf(active)->configuration;
  fmt::print("{}", Json() ? ConfigurationToJson(configuration) + "\n"
                          : PrintConfiguration(configuration,
                                               SchemeOf(configuration)));
  return kExitOk;
}

int Command::Status() {
  OperatorSession* session = Session();
  Result<ActiveConfiguration> active = session->Read();
  if (const Error* error = ErrorOf(active)) return Fail(*error);
  Result<std::vector<ZoneSummary>> zones = session->Status();
  if (const Error* error = ErrorOf(zones)) return Fail(*error);
  uint64_t newest = ValueOf(active)->head.Newest().version;
  bool converged = true;
  banyanloft::Json list = banyanloft::Json::array();
  if (!Json()) fmt::print("accepted version: {}\n", newest);
  for (const ZoneSummary& zone : *ValueOf(zones)) {
    list.push_back(ParseJson(ZoneSummaryToJson(zone)));
    std::string versions;
    for (const auto& [version, members] : zone.versions) {
      converged = converged && version >= newest;
      versions += fmt::format(" version {}: {} members;", version, members);
    }
    if (Json()) continue;
    fmt::print("zone {}: {} members;{}\n", zone.zone, zone.members, versions);
    for (const auto& [member, report] : zone.laggards) {
      fmt::print("  lagging member {}: version {}{}\n", member, report.version,
                 report.detail.empty() ? "" : ", " + report.detail);
    }
  }
  if (Json())
    fmt::print("{}\n", banyanloft::Json{{"newest", newest},
                                        {"converged", converged},
                                        {"zones", list}}
                           .dump(2));
  return converged ? kExitOk : kExitNotConverged;
}

int Command::History() {
  Result<ActiveConfiguration> active = Session()->Read();
  if (const Error* error = ErrorOf(active)) return Fail(*error);
  if (Json()) {
    fmt::print("{}\n", HeadToJson(ValueOf(active)->head));
    return kExitOk;
  }
  for (const HeadEntry& entry : ValueOf(active)->head.entries) {
    fmt::print("version {} by {} (change {}){}\n", entry.version, entry.author,
               entry.change_id, entry.note.empty() ? "" : ": " + entry.note);
  }
  return kExitOk;
}

int Command::Rollback(const std::string& version) {
  uint64_t number = std::strtoull(version.c_str(), nullptr, 10);
  OperatorSession* session = Session();
  Result<ChangePlan> plan = session->PlanRollback(number);
  if (const Error* error = ErrorOf(plan)) return Fail(*error);
  return ShowOrApply(session, *ValueOf(plan), true);
}

int Command::QueryDaemon(const std::string& target) {
  Endpoint endpoint;
  ParseEndpoint(settings_.daemon, &endpoint);
  boost::asio::io_context io;
  HttpClientSettings client_settings;
  client_settings.server = endpoint;
  HttpClient client(io, client_settings);
  HttpRequest request;
  request.target = target;
  HttpOutcome outcome;
  client.Send(1, request, kPlatformTimeoutMs, [&](HttpOutcome result) {
    outcome = std::move(result);
    io.stop();
  });
  io.run();
  if (outcome.failure) {
    fmt::print(stderr, "banyanloft: no response from the daemon at {}\n",
               settings_.daemon);
    return kExitFailed;
  }
  fmt::print("{}", outcome.response.body);
  return outcome.response.status == 200 ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace banyanloft

int main(int argc, char** argv) {
  banyanloft::CommandSettings settings;
  banyanloft::OptionTable options;
  options.Address("platform", &settings.platform,
                  "address of the platform's object API");
  options.Address("daemon", &settings.daemon, "admin address of a daemon");
  options.Text("scheme", &settings.scheme,
               "naming scheme of the output; empty: ids");
  options.Choice("output", &settings.output, {"text", "json"}, "output format");
  options.Text("author", &settings.author, "author recorded with the change");
  options.Text("note", &settings.note,
               "reason for the change, recorded in the history");
  options.Number(
      "wait-ms", &settings.wait_ms, 0, 3600000,
      "after apply, time to wait until the version is active everywhere, in "
      "ms");
  banyanloft::OptionTable::Parsed parsed = options.Parse(argc, argv);
  if (parsed.help || (parsed.errors.empty() && parsed.positional.empty())) {
    fmt::print("{}{}", banyanloft::kUsage, options.Help());
    return parsed.help ? banyanloft::kExitOk : banyanloft::kExitUsage;
  }
  if (!parsed.errors.empty()) {
    for (const std::string& error : parsed.errors)
      fmt::print(stderr, "banyanloft: {}\n", error);
    return banyanloft::kExitUsage;
  }
  return banyanloft::Command(settings).Run(parsed.positional);
}

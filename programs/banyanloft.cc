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
constexpr int kExitMistakes = 3;
constexpr int kExitConflict = 4;
constexpr int kExitNotConverged = 5;
constexpr int kExitUnavailable = 6;
constexpr int64_t kPlatformTimeoutMs = 3000;
constexpr int64_t kWaitPollMs = 200;

constexpr char kUsage[] =
    "banyanloft: the operators' command\n\n"
    "  banyanloft plan FILE          print what FILE would apply and how it "
    "differs from what is in force\n"
    "  banyanloft apply FILE         print the difference, then apply it\n"
    "  banyanloft show               print what is in force\n"
    "  banyanloft status             convergence per availability zone, "
    "laggards with reasons\n"
    "  banyanloft history            accepted versions, newest first\n"
    "  banyanloft rollback VERSION   apply the content of an earlier version "
    "as a new one\n"
    "  banyanloft explain NAME       why a daemon routes NAME where it does "
    "(--daemon ADMIN_ADDRESS)\n"
    "  banyanloft explain ID LOG...  the story of a request by the logs of "
    "several processes, and its cause\n"
    "  banyanloft inspect            state of one daemon (--daemon "
    "ADMIN_ADDRESS)\n\n"
    "Exit codes: 0 done, 1 failed, 2 usage, 3 mistakes in the configuration, 4 "
    "another change was first,\n"
    "5 not converged, 6 the platform did not answer.\n\n";

/// Settings of the command.
struct CommandSettings {
  std::string platform;
  std::string daemon;
  std::string scheme;
  std::string output = "text";
  std::string author = "operator";
  std::string note;
  int64_t wait_ms = 0;
};

/// One run of the command.
class Command {
 public:
  explicit Command(CommandSettings settings) : settings_(std::move(settings)) {}

  int Run(const std::vector<std::string>& words);

 private:
  int Plan(const std::string& file, bool apply);
  int Show();
  int Status();
  int History();
  int Rollback(const std::string& version);
  int AskDaemon(const std::string& target);
  int ExplainRequest(const std::vector<std::string>& words);
  int Finish(OperatorSession* session, const ChangePlan& plan, bool apply);
  int WaitInForce(OperatorSession* session, uint64_t version);
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
      return kExitMistakes;
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

int Command::Run(const std::vector<std::string>& words) {
  const std::string& verb = words[0];
  if (verb == "explain" && words.size() > 2) return ExplainRequest(words);
  bool needs_word = verb == "plan" || verb == "apply" || verb == "rollback" ||
                    verb == "explain";
  bool needs_daemon = verb == "explain" || verb == "inspect";
  if (words.size() != (needs_word ? 2U : 1U)) {
    fmt::print(stderr, "banyanloft: '{}' takes {}\n", verb,
               needs_word ? "one word" : "no further word");
    return kExitUsage;
  }
  const std::string& missing =
      needs_daemon ? settings_.daemon : settings_.platform;
  if (missing.empty()) {
    fmt::print(stderr, "banyanloft: '{}' needs --{}\n", verb,
               needs_daemon ? "daemon" : "platform");
    return kExitUsage;
  }
  if (verb == "plan" || verb == "apply") return Plan(words[1], verb == "apply");
  if (verb == "show") return Show();
  if (verb == "status") return Status();
  if (verb == "history") return History();
  if (verb == "rollback") return Rollback(words[1]);
  if (verb == "explain") return AskDaemon("/explain?name=" + words[1]);
  if (verb == "inspect") return AskDaemon("/status");
  fmt::print(stderr, "banyanloft: there is no command '{}'; see --help\n",
             verb);
  return kExitUsage;
}

/// Words: the verb, the request's id, log files.
int Command::ExplainRequest(const std::vector<std::string>& words) {
  RequestTracer tracer;
  size_t unread = 0;
  for (size_t i = 2; i < words.size(); ++i) {
    std::ifstream stream(words[i]);
    if (!stream) {
      fmt::print(stderr, "banyanloft: cannot read {}\n", words[i]);
      return kExitUsage;
    }
    for (std::string text; std::getline(stream, text);) {
      std::optional<LogLine> line = ParseLogLine(text);
      if (line) tracer.Add(words[i], std::move(*line));
      unread += line ? 0 : 1;
    }
  }
  std::vector<std::string> lines = tracer.Trace(words[1]);
  if (lines.empty()) {
    fmt::print(stderr,
               "banyanloft: none of {} log lines names request {} ({} lines of "
               "another form left out)\n",
               tracer.Size(), words[1], unread);
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

  // Mistakes are told even if the platform cannot be asked.
  std::vector<ConfigurationError> mistakes =
      ValidateConfiguration(*ValueOf(configuration));
  for (const ConfigurationError& mistake : mistakes) {
    fmt::print(stderr, "banyanloft: {}: {}\n", mistake.path, mistake.problem);
  }
  if (!mistakes.empty()) return kExitMistakes;
  OperatorSession* session = Session();
  Result<ChangePlan> plan =
      session->Plan(std::move(*ValueOf(configuration)), settings_.note);
  if (const Error* error = ErrorOf(plan)) return Fail(*error);
  return Finish(session, *ValueOf(plan), apply);
}

int Command::Finish(OperatorSession* session, const ChangePlan& plan,
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
      fmt::print("configuration to be applied:\n{}\n",
                 PrintConfiguration(plan.target, scheme));
    fmt::print("difference to version {}:\n{}", base,
               difference.empty() ? "(none)\n" : difference);
  }
  if (!apply) return kExitOk;
  if (!plan.HasChanges()) {
    fmt::print("nothing to apply: version {} already holds this\n", base);
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
  return settings_.wait_ms > 0 ? WaitInForce(session, entry.version) : kExitOk;
}

int Command::WaitInForce(OperatorSession* session, uint64_t version) {
  for (int64_t waited = 0; waited <= settings_.wait_ms; waited += kWaitPollMs) {
    Result<std::vector<ZoneSummary>> zones = session->Status();
    if (const Error* error = ErrorOf(zones)) return Fail(*error);
    bool all = !ValueOf(zones)->empty();
    for (const ZoneSummary& zone : *ValueOf(zones)) {
      for (const auto& [held, members] : zone.versions)
        all = all && held >= version;
    }
    if (all) {
      fmt::print("version {} is in force in all zones\n", version);
      return kExitOk;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kWaitPollMs));
  }
  fmt::print(stderr,
             "banyanloft: version {} is not in force everywhere yet; see "
             "'banyanloft status'\n",
             version);
  return kExitNotConverged;
}

int Command::Show() {
  Result<ActiveConfiguration> view = Session()->Read();
  if (const Error* error = ErrorOf(view)) return Fail(*error);
  const Configuration& configuration = ValueOf(view)->configuration;
  fmt::print("{}", Json() ? ConfigurationToJson(configuration) + "\n"
                          : PrintConfiguration(configuration,
                                               SchemeOf(configuration)));
  return kExitOk;
}

int Command::Status() {
  OperatorSession* session = Session();
  Result<ActiveConfiguration> view = session->Read();
  if (const Error* error = ErrorOf(view)) return Fail(*error);
  Result<std::vector<ZoneSummary>> zones = session->Status();
  if (const Error* error = ErrorOf(zones)) return Fail(*error);
  uint64_t newest = ValueOf(view)->head.Newest().version;
  bool converged = true;
  banyanloft::Json list = banyanloft::Json::array();
  if (!Json()) fmt::print("version {} is accepted\n", newest);
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
      fmt::print("  laggard {}: version {}{}\n", member, report.version,
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
  Result<ActiveConfiguration> view = Session()->Read();
  if (const Error* error = ErrorOf(view)) return Fail(*error);
  if (Json()) {
    fmt::print("{}\n", HeadToJson(ValueOf(view)->head));
    return kExitOk;
  }
  for (const HeadEntry& entry : ValueOf(view)->head.entries) {
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
  return Finish(session, *ValueOf(plan), true);
}

int Command::AskDaemon(const std::string& target) {
  Endpoint endpoint;
  ParseEndpoint(settings_.daemon, &endpoint);
  boost::asio::io_context io;
  HttpClientSettings client_settings;
  client_settings.server = endpoint;
  HttpClient client(io, client_settings);
  HttpRequest request;
  request.target = target;
  HttpOutcome outcome;
  client.Send(1, request, kPlatformTimeoutMs, [&](HttpOutcome got) {
    outcome = std::move(got);
    io.stop();
  });
  io.run();
  if (outcome.failure) {
    fmt::print(stderr, "banyanloft: the daemon at {} did not answer\n",
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
               "naming scheme to print in; empty: ids");
  options.Word("output", &settings.output, {"text", "json"},
               "form of the output");
  options.Text("author", &settings.author, "who applies the change");
  options.Text("note", &settings.note, "why, kept in the history");
  options.Number(
      "wait-ms", &settings.wait_ms, 0, 3600000,
      "after apply, wait this long until it is in force everywhere, in ms");
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

#include "banyanloft/daemon/daemon_options.h"

#include "banyanloft/core/log.h"
#include "banyanloft/core/random.h"

namespace banyanloft {
namespace {

constexpr size_t kMinSecretBytes = 8;
/// Start-up platform calls are spread over a window that grows by this much for
/// each expected daemon, in ms.
constexpr int64_t kStartWindowPerMemberMs = 5;
constexpr int64_t kMaxFleet = 100000;

Endpoint EndpointOf(const std::string& text) {
  Endpoint endpoint;
  ParseEndpoint(text, &endpoint);
  return endpoint;
}

}  // namespace

DaemonOptions::DaemonOptions() {
  table_.Text("zone", &zone_, "availability zone of this instance", true);
  table_.Text("secret", &secret_,
              "shared secret of the fleet, at least 8 bytes", true);
  table_.Address("backend", &backend_, "address of the backend server", true);
  table_.Address("platform", &platform_,
                 "address of the platform's object API; empty: use peers only");
  table_.Addresses(
      "peers", &peers_,
      "gossip addresses of peers to join through, comma-separated");
  table_.Address("caller-listen", &caller_,
                 "listening address for callers; port 0: any free port");
  table_.Address("link-listen", &link_,
                 "listening address for peers (TCP); port 0: any free port");
  table_.Address("gossip-listen", &gossip_,
                 "listening address for gossip (UDP); port 0: any free port");
  table_.Address("admin-listen", &admin_,
                 "listening address for operators and the backend server");
  table_.Text("address-file", &address_file_,
              "file to write the listening addresses to; empty: none");
  table_.Number("backend-connections", &backend_connections_, 1, 10000,
                "maximum number of connections to the backend server");
  table_.Number("max-body-bytes", &max_body_bytes_, 1024,
                4 * 1024 * 1024 - 65536,
                "maximum size of a request or response body, in bytes");
  table_.Number("request-timeout-ms", &request_timeout_ms_, 100, 600000,
                "time limit for receiving a caller's request, in ms");
  table_.Number("max-wait-ms", &max_wait_ms_, 1, 60000,
                "maximum time a request waits for a slot, in ms");
  table_.Number(
      "expected-fleet", &expected_fleet_, 1, kMaxFleet,
      "expected number of daemons; the more, the longer the time over which "
      "start-up calls to the platform are spread");
  table_.Number(
      "seed", &seed_, 0, INT64_MAX,
      "seed of the random number generators; 0: from the operating system");
  table_.Choice("log-level", &log_level_, {"debug", "info", "warning", "error"},
                "lowest severity that is logged");
}

OptionTable::Parsed DaemonOptions::Parse(int argc, const char* const* argv) {
  OptionTable::Parsed parsed = table_.Parse(argc, argv);
  if (!secret_.empty() && secret_.size() < kMinSecretBytes) {
    parsed.errors.push_back("--secret: must have at least 8 bytes");
  }
  for (const std::string& argument : parsed.positional)
    parsed.errors.push_back("unexpected argument '" + argument + "'");
  LogLevel level = LogLevel::kInfo;
  if (ParseLogLevel(log_level_, &level)) SetLogLevel(level);
  return parsed;
}

DaemonSettings DaemonOptions::Settings() const {
  DaemonSettings settings;
  settings.node.zone = zone_;
  settings.node.secret = secret_;
  settings.node.peers = peers_;
  settings.node.seed =
      seed_ != 0 ? static_cast<uint64_t>(seed_) : SeedFromDevice();
  settings.node.start_window_ms = expected_fleet_ * kStartWindowPerMemberMs;
  settings.node.runner.admission.max_wait_ms = max_wait_ms_;
  settings.caller_listen = EndpointOf(caller_);
  settings.link_listen = EndpointOf(link_);
  settings.gossip_listen = EndpointOf(gossip_);
  settings.admin_listen = EndpointOf(admin_);
  settings.backend = EndpointOf(backend_);
  if (!platform_.empty()) settings.platform = EndpointOf(platform_);
  settings.backend_connections = static_cast<size_t>(backend_connections_);
  settings.max_body_bytes = static_cast<size_t>(max_body_bytes_);
  settings.request_timeout_ms = request_timeout_ms_;
  return settings;
}

}  // namespace banyanloft

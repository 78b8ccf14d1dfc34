#include "soak/instance.h"

#include <fmt/format.h>

#include <fstream>

namespace banyanloft::soak {
namespace {

constexpr int kSlots = 8;
constexpr int kInstancesPerZone = 4;

}  // namespace

Instance::Instance(boost::asio::io_context& io,
                   const InstanceSettings& settings, BackendObserver* observer)
    : io_(io), settings_(settings), observer_(observer) {}

Endpoint Instance::LocalEndpoint(int offset) const {
  return {"127.0.0.1", static_cast<uint16_t>(settings_.first_port + offset)};
}

std::string Instance::FilePath(const char* extension) const {
  return fmt::format("{}/sidecar-{}.{}", settings_.dir, settings_.index,
                     extension);
}

bool Instance::Start(uint64_t seed) {
  WriteSettings();
  const std::array<Endpoint, kConnectionTypes> targets = {
      LocalEndpoint(kOutbound), LocalEndpoint(kBackend), LocalEndpoint(kLink),
      settings_.store, LocalEndpoint(kControl)};
  for (size_t i = 0; i < kConnectionTypes; ++i) {
    proxies_[i] = std::make_unique<LoopbackProxy>(
        io_, ProxyEndpoint(static_cast<ConnectionType>(i)), targets[i]);
    Result<Endpoint> started = proxies_[i]->Start();
    if (ErrorOf(started) != nullptr) return false;
  }
  HttpClientSettings client;
  client.server = ProxyEndpoint(ConnectionType::kClients);
  client_ = std::make_unique<HttpClient>(io_, client);
  return StartBackend(seed) && StartDaemon();
}

void Instance::WriteSettings() const {
  std::ofstream file(FilePath("toml"));
  file << fmt::format(
      "node_name = \"sidecar-{0}\"\nip = \"127.0.0.1\"\nzone = \"z{1}\"\n"
      "internal_ports = [{2},{3}]\nheartbeat_interval_s = 0.5\n"
      "bounds = [\"grace_s={4}\",\"retry_budget_ratio=0.2\","
      "\"retry_budget_slack=50\",\"budget_window_s=10\"]\n"
      "app_addr = \"{5}\"\nservice = \"{6}\"\n[listen]\n"
      "outbound = \"{7}\"\nready = \"{8}\"\ncontrol = \"{9}\"\n"
      "[platform]\naddress = \"{10}\"\n",
      settings_.index, settings_.index / kInstancesPerZone,
      LocalEndpoint(kLink).port, LocalEndpoint(kGossip).port,
      settings_.grace_ms / 1000, ProxyEndpoint(ConnectionType::kBackend).Text(),
      settings_.service, LocalEndpoint(kOutbound).Text(),
      LocalEndpoint(kReady).Text(), LocalEndpoint(kControl).Text(),
      settings_.store.Text());
}

bool Instance::StartDaemon() {
  stop_requested = false;
  restart_on_exit = false;
  return daemon_.Start(
      {settings_.program, "--advertise-link",
       ProxyEndpoint(ConnectionType::kLinks).Text(), "--store-via",
       ProxyEndpoint(ConnectionType::kStore).Text(), FilePath("toml")},
      FilePath("log"));
}

bool Instance::StartBackend(uint64_t seed) {
  MeshBackendSettings backend;
  backend.id = fmt::format("i-{}-{}", settings_.index, backends_started_++);
  backend.service = settings_.service;
  backend.listen = LocalEndpoint(kBackend);
  backend.advertised = ProxyEndpoint(ConnectionType::kBackend);
  backend.control = ProxyEndpoint(ConnectionType::kReports);
  backend.seed = seed;
  backend.slots = kSlots;
  backend_ = std::make_unique<MeshBackend>(io_, backend, observer_);
  Result<Endpoint> started = backend_->Start();
  return ErrorOf(started) == nullptr;
}

uint64_t Instance::SetConnectionFault(ConnectionType connection,
                                      ProxyFault fault) {
  size_t i = static_cast<size_t>(connection);
  proxies_[i]->SetFault(fault);
  return ++fault_tokens_[i];
}

void Instance::ClearConnectionFault(ConnectionType connection, uint64_t token) {
  size_t i = static_cast<size_t>(connection);
  if (fault_tokens_[i] == token) proxies_[i]->SetFault(ProxyFault::kNone);
}

}  // namespace banyanloft::soak

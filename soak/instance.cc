#include "soak/instance.h"

#include <fmt/format.h>

#include <fstream>

namespace banyanloft::soak {
namespace {

constexpr int kSlots = 8;
constexpr int kZoneSize = 4;  ///< Instances of one availability zone.

}  // namespace

Instance::Instance(boost::asio::io_context& io,
                   const InstanceSettings& settings, BackendWitness* witness)
    : io_(io), settings_(settings), witness_(witness) {}

Endpoint Instance::At(int offset) const {
  return {"127.0.0.1", static_cast<uint16_t>(settings_.first_port + offset)};
}

std::string Instance::PathOf(const char* ending) const {
  return fmt::format("{}/sidecar-{}.{}", settings_.dir, settings_.index,
                     ending);
}

bool Instance::Start(uint64_t seed) {
  WriteSettings();
  const std::array<Endpoint, kEdges> targets = {
      At(kOutbound), At(kBackend), At(kLink), settings_.store, At(kControl)};
  for (size_t i = 0; i < kEdges; ++i) {
    proxies_[i] = std::make_unique<LoopbackProxy>(
        io_, ProxyAt(static_cast<Edge>(i)), targets[i]);
    Result<bool> started = proxies_[i]->Start();
    if (ErrorOf(started) != nullptr) return false;
  }
  HttpClientSettings client;
  client.server = ProxyAt(Edge::kClients);
  client_ = std::make_unique<HttpClient>(io_, client);
  return StartBackend(seed) && StartDaemon();
}

void Instance::WriteSettings() const {
  std::ofstream file(PathOf("toml"));
  file << fmt::format(
      "node_name = \"sidecar-{0}\"\nip = \"127.0.0.1\"\nzone = \"z{1}\"\n"
      "internal_ports = [{2},{3}]\nheartbeat_interval_s = 0.5\n"
      "bounds = [\"grace_s={4}\",\"retry_budget_ratio=0.2\","
      "\"retry_budget_slack=50\",\"budget_window_s=10\"]\n"
      "app_addr = \"{5}\"\nservice = \"{6}\"\n[listen]\n"
      "outbound = \"{7}\"\nready = \"{8}\"\ncontrol = \"{9}\"\n"
      "[platform]\naddress = \"{10}\"\n",
      settings_.index, settings_.index / kZoneSize, At(kLink).port,
      At(kGossip).port, settings_.grace_ms / 1000,
      ProxyAt(Edge::kBackend).Text(), settings_.service, At(kOutbound).Text(),
      At(kReady).Text(), At(kControl).Text(), settings_.store.Text());
}

bool Instance::StartDaemon() {
  told_to_end = false;
  restart = false;
  return daemon_.Start(
      {settings_.program, "--advertise-link", ProxyAt(Edge::kLinks).Text(),
       "--store-via", ProxyAt(Edge::kStore).Text(), PathOf("toml")},
      PathOf("log"));
}

bool Instance::StartBackend(uint64_t seed) {
  MeshBackendSettings backend;
  backend.id = fmt::format("i-{}-{}", settings_.index, backends_++);
  backend.service = settings_.service;
  backend.listen = At(kBackend);
  backend.reported = ProxyAt(Edge::kBackend);
  backend.control = ProxyAt(Edge::kReports);
  backend.seed = seed;
  backend.slots = kSlots;
  backend_ = std::make_unique<MeshBackend>(io_, backend, witness_);
  Result<Endpoint> started = backend_->Start();
  return ErrorOf(started) == nullptr;
}

uint64_t Instance::SetEdgeFault(Edge edge, ProxyFault fault) {
  size_t i = static_cast<size_t>(edge);
  proxies_[i]->SetFault(fault);
  return ++edge_faults_[i];
}

void Instance::EndEdgeFault(Edge edge, uint64_t token) {
  size_t i = static_cast<size_t>(edge);
  if (edge_faults_[i] == token) proxies_[i]->SetFault(ProxyFault::kNone);
}

}  // namespace banyanloft::soak

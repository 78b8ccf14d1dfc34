#include "tests/process_fleet.h"

#include <fmt/format.h>
#include <stdlib.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>

#include "standins/mesh_configuration.h"

namespace banyanloft {
namespace {

constexpr int kSlots = 18;
constexpr int64_t kReapPeriodMs = 2;

}  // namespace

ProcessFleet::ProcessFleet(const ProcessFleetSettings& settings,
                           BackendObserver* observer)
    : settings_(settings),
      observer_(observer),
      store_(io_, {"127.0.0.1", static_cast<uint16_t>(settings.first_port)},
             1) {
  char name[] = "/tmp/process-fleet-XXXXXX";
  const char* made = mkdtemp(name);
  if (made != nullptr) dir_ = made;
}

ProcessFleet::~ProcessFleet() {
  Stop();
  if (!dir_.empty()) std::filesystem::remove_all(dir_);
}

int64_t ProcessFleet::PortOf(int instance, int offset) const {
  return settings_.first_port + kPortsPerInstance * (instance + 1) + offset;
}

Endpoint ProcessFleet::AddressOf(int instance, int offset) const {
  return {"127.0.0.1", static_cast<uint16_t>(PortOf(instance, offset))};
}

std::string ProcessFleet::PathOf(int instance, const char* extension) const {
  return fmt::format("{}/sidecar-{}.{}", dir_, instance, extension);
}

const char* ProcessFleet::ServiceOf(int instance) {
  return instance % 2 == 0 ? "catalogue" : "pledges";
}

std::string ProcessFleet::BackendId(int instance) {
  return fmt::format("i-{}", instance);
}

void ProcessFleet::WriteSettings(int instance) const {
  std::ofstream file(PathOf(instance, "toml"));
  file << fmt::format(
      "node_name = \"sidecar-{0}\"\nip = \"127.0.0.1\"\nzone = \"z{1}\"\n"
      "internal_ports = [{2},{3}]\nheartbeat_interval_s = 0.5\n"
      "bounds = [{4}]\napp_addr = \"{5}\"\nservice = \"{6}\"\n[listen]\n"
      "outbound = \"{7}\"\nready = \"{8}\"\ncontrol = \"{9}\"\n"
      "[platform]\naddress = \"127.0.0.1:{10}\"\n[limits]\n{11}\n",
      instance, instance / settings_.instances_per_zone, PortOf(instance, 5),
      PortOf(instance, 6), settings_.bounds, BackendAddress(instance).Text(),
      ServiceOf(instance), AddressOf(instance, 1).Text(),
      AddressOf(instance, 2).Text(), AddressOf(instance, 3).Text(),
      settings_.store_port != 0 ? settings_.store_port : settings_.first_port,
      settings_.limits);
}

bool ProcessFleet::Start() {
  if (dir_.empty() || ErrorOf(store_.Start()) != nullptr) return false;
  Json configuration = MeshConfiguration(1, {});
  if (settings_.max_body_bytes > 0)
    configuration["limits"]["max_body_bytes"] = settings_.max_body_bytes;
  if (settings_.timeout_s > 0) {
    for (Json& route : configuration["listeners"][0]["rule_set"])
      route["action"]["timeout_s"] = settings_.timeout_s;
  }
  store_.Put("config", "main", configuration);
  if (settings_.store_down) store_.SetFault(StoreFault::kUnavailable);
  backends_.resize(static_cast<size_t>(settings_.instances));
  for (int i = 0; i < settings_.instances; ++i) {
    WriteSettings(i);
    daemons_.push_back(std::make_unique<soak::DaemonProcess>());
    if (!StartBackend(i) || !StartDaemon(i)) return false;
  }
  loop_ = std::thread([this] { io_.run(); });
  return true;
}

void ProcessFleet::Stop() {
  daemons_.clear();
  if (!loop_.joinable()) return;
  boost::asio::post(io_, [this] { io_.stop(); });
  loop_.join();
}

bool ProcessFleet::StartDaemon(int instance) {
  return Daemon(instance).Start(
      {BANYANLOFT_BUILD_DIR "/banyanloft_sidecar", PathOf(instance, "toml")},
      PathOf(instance, "log"));
}

soak::DaemonProcess& ProcessFleet::Daemon(int instance) {
  return *daemons_[static_cast<size_t>(instance)];
}

void ProcessFleet::KillDaemon(int instance) {
  Daemon(instance).Signal(SIGKILL);
  while (Daemon(instance).Running() && !Daemon(instance).Reap())
    std::this_thread::sleep_for(std::chrono::milliseconds(kReapPeriodMs));
}

size_t ProcessFleet::PeakMb(int instance) {
  if (Daemon(instance).Reap()) return 0;
  std::ifstream status(fmt::format("/proc/{}/status", Daemon(instance).Pid()));
  constexpr char kName[] = "VmHWM:";
  constexpr size_t kKbPerMb = 1024;
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(kName, 0) == 0)
      return std::strtoul(line.c_str() + sizeof(kName) - 1, nullptr, 10) /
             kKbPerMb;
  }
  return 0;
}

void ProcessFleet::Call(const std::function<void()>& function) {
  std::promise<void> called;
  boost::asio::post(io_, [&] {
    function();
    called.set_value();
  });
  called.get_future().wait();
}

MeshBackend& ProcessFleet::Backend(int instance) {
  return *backends_[static_cast<size_t>(instance)];
}

bool ProcessFleet::StartBackend(int instance) {
  MeshBackendSettings backend = settings_.backend;
  backend.id = BackendId(instance);
  backend.service = ServiceOf(instance);
  backend.advertised = BackendAddress(instance);
  backend.listen = settings_.answered_by_test.count(instance) > 0
                       ? AddressOf(instance, 7)
                       : BackendAddress(instance);
  backend.control = AddressOf(instance, 3);
  backend.seed = static_cast<uint64_t>(instance) + 1;
  backend.slots = kSlots;
  backend.invalid_response_permille = 0;
  std::unique_ptr<MeshBackend>& slot = backends_[static_cast<size_t>(instance)];
  slot.reset();
  slot = std::make_unique<MeshBackend>(io_, backend, observer_);
  return ErrorOf(slot->Start()) == nullptr;
}

bool ProcessFleet::RestartBackend(int instance) {
  bool started = false;
  Call([&] { started = StartBackend(instance); });
  return started;
}

}  // namespace banyanloft

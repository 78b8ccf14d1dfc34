#include "review/standin-3/fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <future>

namespace review {
namespace {

using banyanloft::Endpoint;
using banyanloft::HttpRequest;
using banyanloft::Json;
using banyanloft::MeshBackend;
using banyanloft::MeshBackendSettings;
using banyanloft::MeshStore;

constexpr uint16_t kPortsPerMachine = 16;
constexpr int64_t kStartTimeoutMs = 15000;
constexpr int64_t kRestartDelayMs = 500;
constexpr size_t kMaxHeaderBytes = 16384;
constexpr size_t kMaxBodyBytes = 67108864;

Endpoint Loopback(uint16_t port) { return Endpoint{"127.0.0.1", port}; }

Json Route(const std::string& name, const std::string& kind,
           const std::string& prefix, const std::string& service,
           double timeout_s) {
  return {
      {"name", name},
      {"kind", kind},
      {"aim_s", 0.5},
      {"priority", 1},
      {"match", {{"path_prefix", prefix}}},
      {"action",
       {{"service", service}, {"timeout_s", timeout_s}, {"max_attempts", 2}}}};
}

/// The limits are those of the site file's configurations.
Json Configuration(double timeout_s) {
  Json rules = {
      Route("lookup", "safe", "/lookup/", "catalogue", timeout_s),
      Route("register", "unsafe", "/register/", "pledges", timeout_s)};
  Json clusters = Json::array();
  for (const char* service : {"catalogue", "pledges"})
    clusters.push_back({{"name", service}, {"max_connections", 110}});
  return {{"version", "00000001"},
          {"limits",
           {{"max_header_bytes", kMaxHeaderBytes},
            {"max_body_bytes", kMaxBodyBytes},
            {"header_timeout_s", 3},
            {"idle_timeout_s", 15}}},
          {"listeners", {{{"host", "mesh.example"}, {"rule_set", rules}}}},
          {"clusters", clusters}};
}

int Connect(uint16_t port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (fd >= 0 && connect(fd, generic, sizeof address) == 0) return fd;
  if (fd >= 0) close(fd);
  return -1;
}

/// Waits until the socket is ready for `events`. False at `deadline_ms`.
bool WaitFor(int fd, short events, int64_t deadline_ms) {
  int64_t left_ms = deadline_ms - NowMs();
  pollfd polled{fd, events, 0};
  return left_ms > 0 && poll(&polled, 1, static_cast<int>(left_ms)) > 0;
}

/// False if the peer has closed the connection, or at `deadline_ms`. Stops as
/// soon as there is a response.
bool SendAll(int fd, const std::string& bytes, int64_t deadline_ms) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    if (!WaitFor(fd, POLLOUT, deadline_ms)) return false;
    ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent,
                     MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN) return false;
    if (n > 0) sent += static_cast<size_t>(n);
  }
  return true;
}

/// Status of the response that arrives by `deadline_ms`; 0: none.
int ReadStatus(int fd, int64_t deadline_ms) {
  constexpr size_t kStatusEnd = 12;
  std::string head;
  while (head.size() < kStatusEnd && WaitFor(fd, POLLIN, deadline_ms)) {
    std::array<char, 4096> buffer{};
    ssize_t n = recv(fd, buffer.data(), buffer.size(), 0);
    if (n <= 0) return 0;
    head.append(buffer.data(), static_cast<size_t>(n));
  }
  bool valid = head.size() >= kStatusEnd && head.rfind("HTTP/1.1 ", 0) == 0;
  return valid ? std::atoi(head.c_str() + 9) : 0;
}

std::string HeadOf(const ClientRequest& request) {
  std::string head = fmt::format(
      "{} {} HTTP/1.1\r\nHost: mesh.example\r\nX-Attempt-Id: {}\r\n"
      "X-Deadline-Ms: {}\r\n",
      request.method, request.target, request.id, request.deadline_ms);
  if (!request.body.empty())
    head += fmt::format("Content-Length: {}\r\n", request.body.size());
  if (request.body_bytes > 0)
    head += fmt::format("Content-Length: {}\r\n", request.body_bytes);
  if (request.fill_head) {
    const std::string name = "X-Session: ";
    size_t used = head.size() + name.size() + std::strlen("\r\n\r\n");
    head += name + std::string(kMaxHeaderBytes - used, 's') + "\r\n";
  }
  return head + "\r\n";
}

int64_t ResidentKb(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/statm", pid));
  int64_t total = 0;
  int64_t resident = 0;
  file >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE) / 1024;
}

}  // namespace

int64_t NowMs() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

int64_t UnixMs() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string& path) : file_(path), begun_ms_(NowMs()) {}

int64_t Record::ElapsedMs() const { return NowMs() - begun_ms_; }

void Record::Line(const std::string& text) {
  std::lock_guard<std::mutex> lock(mutex_);
  file_ << fmt::format("{:7.3f} {}", ElapsedMs() / 1000.0, text) << std::endl;
}

int SendRequest(const ClientRequest& request) {
  // The client waits a little longer, so that an answer at the deadline counts.
  constexpr int64_t kSlackMs = 1000;
  constexpr size_t kPieceBytes = 1024 * 1024;
  int64_t deadline_ms = NowMs() + request.deadline_ms + kSlackMs;
  int fd = Connect(request.port);
  if (fd < 0) return 0;
  bool sent = SendAll(fd, HeadOf(request) + request.body, deadline_ms);
  std::string piece(std::min(kPieceBytes, request.body_bytes), 'b');
  for (size_t at = 0; sent && at < request.body_bytes; at += piece.size()) {
    piece.resize(std::min(piece.size(), request.body_bytes - at));
    sent = SendAll(fd, piece, deadline_ms);
  }
  int status = ReadStatus(fd, NowMs() + request.deadline_ms + kSlackMs);
  close(fd);
  return status;
}

uint16_t FreePorts(uint16_t count) {
  constexpr uint16_t kFirst = 20000;
  constexpr uint16_t kLast = 30000;
  auto is_free = [](uint16_t port, int type) {
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int bound = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    close(fd);
    return bound == 0;
  };
  uint16_t begin = kFirst;
  begin = static_cast<uint16_t>(begin + getpid() % 4000);
  for (uint16_t port = begin; port < kLast; ++port) {
    if (!is_free(port, SOCK_STREAM) || !is_free(port, SOCK_DGRAM)) {
      begin = static_cast<uint16_t>(port + 1);
      continue;
    }
    if (port - begin + 1 >= count) return begin;
  }
  return 0;
}

Fleet::Fleet(const FleetSettings& settings, Record* record)
    : settings_(settings), record_(record) {
  uint16_t port = settings_.base_port;
  store_ = std::make_unique<MeshStore>(io_, Loopback(port), 1);
  for (int zone = 0; zone < settings_.zones; ++zone) {
    for (int i = 0; i < settings_.machines_per_zone; ++i) {
      port = static_cast<uint16_t>(port + kPortsPerMachine);
      Machine machine;
      machine.zone = fmt::format("zone-{}", zone);
      machine.name = fmt::format("sidecar-{}-{}", zone, i);
      machine.service =
          i + 1 == settings_.machines_per_zone ? "pledges" : "catalogue";
      machine.port = port;
      machines_.push_back(std::move(machine));
    }
  }
}

Fleet::~Fleet() {
  stopping_ = true;
  if (watch_thread_.joinable()) watch_thread_.join();
  for (Machine& machine : machines_) {
    if (machine.pid == 0) continue;
    kill(machine.pid, SIGKILL);
    waitpid(machine.pid, nullptr, 0);
  }
  io_.stop();
  if (io_thread_.joinable()) io_thread_.join();
}

uint16_t Fleet::ControlPort(size_t machine) const {
  return static_cast<uint16_t>(machines_[machine].port + 3);
}

uint16_t Fleet::BackendPort(size_t machine) const {
  return static_cast<uint16_t>(machines_[machine].port + 4);
}

void Fleet::WithBackend(size_t machine,
                        const std::function<void(MeshBackend*)>& work) {
  std::promise<void> done;
  boost::asio::post(io_, [&] {
    work(machines_[machine].backend.get());
    done.set_value();
  });
  done.get_future().wait();
}

void Fleet::EndBackend(size_t machine) {
  std::promise<void> done;
  boost::asio::post(io_, [&] {
    machines_[machine].backend.reset();
    done.set_value();
  });
  done.get_future().wait();
}

uint16_t Fleet::OutboundPort(size_t machine) const {
  return static_cast<uint16_t>(machines_[machine].port + 1);
}

std::vector<size_t> Fleet::MachinesOf(const std::string& zone,
                                      const std::string& service) const {
  std::vector<size_t> out;
  for (size_t i = 0; i < machines_.size(); ++i) {
    bool wanted = machines_[i].zone == zone && machines_[i].service == service;
    if (wanted) out.push_back(i);
  }
  return out;
}

bool Fleet::CreateBackend(size_t index) {
  Machine& machine = machines_[index];
  MeshBackendSettings backend;
  backend.id = "i-" + machine.name;
  backend.service = machine.service;
  backend.listen = Loopback(BackendPort(index));
  backend.advertised = backend.listen;
  backend.control = Loopback(ControlPort(index));
  backend.slots = 18;
  backend.run_ms = settings_.run_ms;
  backend.invalid_response_permille = 0;
  backend.max_body_bytes = kMaxBodyBytes;
  backend.echoes_body = false;
  // Not on the pages in force.
  backend.names_leaving = false;
  machine.backend = std::make_unique<MeshBackend>(
      io_, backend, static_cast<banyanloft::BackendObserver*>(this));
  return banyanloft::ErrorOf(machine.backend->Start()) == nullptr;
}

bool Fleet::Start() {
  store_->Put("config", "main", Configuration(settings_.timeout_s));
  bool ok = banyanloft::ErrorOf(store_->Start()) == nullptr;
  for (size_t i = 0; i < machines_.size(); ++i) {
    ok = ok && CreateBackend(i);
    WriteSettings(machines_[i]);
  }
  if (!ok) return false;
  io_thread_ = std::thread([this] { io_.run(); });
  for (Machine& machine : machines_) StartDaemon(&machine);
  watch_thread_ = std::thread([this] { Watch(); });
  int64_t until_ms = NowMs() + kStartTimeoutMs;
  for (size_t i = 0; i < machines_.size(); ++i) {
    while (!Ready(i)) {
      if (NowMs() > until_ms) return false;
      SleepMs(100);
    }
  }
  record_->Line(fmt::format("{} daemons are ready", machines_.size()));
  return true;
}

bool Fleet::Ready(size_t machine) const {
  ClientRequest check;
  check.port = static_cast<uint16_t>(machines_[machine].port + 2);
  check.target = "/-/readyz";
  check.id = "check";
  return SendRequest(check) == 200;
}

void Fleet::WriteSettings(const Machine& machine) const {
  auto address = [&](int offset) {
    return fmt::format("127.0.0.1:{}", machine.port + offset);
  };
  std::ofstream file(settings_.directory + "/" + machine.name + ".toml");
  file << fmt::format(
      "node_name = \"{}\"\nrole = \"sidecar\"\nmachine_class = \"sidecar\"\n"
      "serves = [\"sidecar\"]\nip = \"127.0.0.1\"\nzone = \"{}\"\n"
      "region = \"region\"\ninternal_ports = [{},{}]\nseeds = []\n"
      "first_start = true\nheartbeat_interval_s = 0.5\n"
      "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
      "\"recover\",\"platform\"]\n"
      "bounds = [\"drain_s=2\",\"grace_s=6\",\"retry_budget_ratio=0.2\","
      "\"budget_window_s=10\",\"retry_budget_slack=56\"]\n"
      "app_addr = \"{}\"\nservice = \"{}\"\n",
      machine.name, machine.zone, machine.port + 5, machine.port + 15,
      address(4), machine.service);
  file << fmt::format(
      "[listen]\ninbound = \"{}\"\noutbound = \"{}\"\nready = \"{}\"\n"
      "control = \"{}\"\n[limits]\ncpu_share = 0.2\ncpu_cores = 1\n"
      "memory_mb = {}\nmax_fds = 4100\nlink_mbps = {:.1f}\ndisk_mb = 0\n"
      "[platform]\naddress = \"127.0.0.1:{}\"\nform = \"objects\"\n"
      "writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
      "value_bytes = 1048576\n",
      address(0), address(1), address(2), address(3), settings_.memory_mb,
      settings_.link_mbps, settings_.base_port);
}

void Fleet::StartDaemon(Machine* machine) {
  std::string settings = settings_.directory + "/" + machine->name + ".toml";
  std::string log = settings_.directory + "/" + machine->name + ".log";
  std::string variable = "BANYANLOFT_SETTINGS=" + settings;
  std::string command = settings_.command;
  pid_t pid = fork();
  if (pid == 0) {
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    // Sockets of the stand-ins must close when the stand-ins close them.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    std::array<char*, 2> arguments = {command.data(), nullptr};
    std::array<char*, 2> environment = {variable.data(), nullptr};
    execve(command.c_str(), arguments.data(), environment.data());
    _exit(127);
  }
  machine->pid = pid;
  machine->restart_at_ms = 0;
}

void Fleet::Watch() {
  constexpr int64_t kPeriodMs = 2;
  while (!stopping_) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      for (Machine& machine : machines_) WatchMachine(&machine);
    }
    SleepMs(kPeriodMs);
  }
}

/// The platform's limit: memory over it ends the process. A MB is taken as
/// 1,048,576 bytes, the larger reading.
void Fleet::WatchMachine(Machine* machine) {
  if (machine->pid == 0) {
    if (NowMs() >= machine->restart_at_ms) StartDaemon(machine);
    return;
  }
  int status = 0;
  if (waitpid(machine->pid, &status, WNOHANG) == machine->pid) {
    record_->Line(
        fmt::format("{} ended by itself, status {:#x}", machine->name, status));
    ++machine->ended_by_memory;
    machine->pid = 0;
    machine->restart_at_ms = NowMs() + kRestartDelayMs;
    return;
  }
  int64_t resident_kb = ResidentKb(machine->pid);
  machine->peak_kb = std::max(machine->peak_kb, resident_kb);
  if (resident_kb <= settings_.memory_mb * 1024) return;
  kill(machine->pid, SIGKILL);
  waitpid(machine->pid, nullptr, 0);
  ++machine->ended_by_memory;
  machine->pid = 0;
  machine->restart_at_ms = NowMs() + kRestartDelayMs;
  record_->Line(fmt::format("{} exceeds its memory with {} KB and ends",
                            machine->name, resident_kb));
}

void Fleet::OnRequestStarted(const MeshBackend& backend, const std::string& id,
                             const HttpRequest& request) {
  if (on_run) on_run(backend, id, request);
  if (request.body.size() > kMaxHeaderBytes)
    record_->Line(fmt::format("{} runs {}, body {}", backend.Settings().id, id,
                              request.body.size()));
}

int Fleet::MachinesEnded(int times) {
  std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int>(std::count_if(
      machines_.begin(), machines_.end(),
      [&](const Machine& m) { return m.ended_by_memory >= times; }));
}

void Fleet::ReportMemory() {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const Machine& machine : machines_)
    record_->Line(fmt::format("{} ({}): peak {} KB, processes ended {}",
                              machine.name, machine.service, machine.peak_kb,
                              machine.ended_by_memory));
}

}  // namespace review

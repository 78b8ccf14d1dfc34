#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/net.h"

namespace review {

using Json = nlohmann::json;

/// Lines of what was sent, answered and run, with milliseconds since the start
/// of the case. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), start_(NowMs()) {}
  void Line(const std::string& text);
  int64_t Ms() const { return NowMs() - start_; }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  int64_t start_;
};

/// The platform's store: objects by kind and name, lists, watches, conditional
/// writes. Linearizable; keeps its whole history.
class Store {
 public:
  explicit Store(Address listen);
  bool Start() { return server_.Start(); }
  void Stop();
  /// Processes that call the store.
  void SetCallers(std::vector<pid_t> callers);
  /// From now on closes the connections of `turned_away` and answers nothing to
  /// `cut_off`. Serves the others and the operator.
  void RefuseCallers(std::vector<pid_t> turned_away,
                     std::vector<pid_t> cut_off);
  /// Writes the specification of an object, as the operator does.
  void Put(const std::string& kind, const std::string& name, const Json& spec);

 private:
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    Json object;
    bool deleted = false;
  };

  bool Handle(Connection* connection, const Message& request);
  bool IsRefused(pid_t caller) const;
  Message Answer(pid_t caller, const Message& request);
  Message List(const std::string& kind, const std::string& query);
  Message Watch(std::unique_lock<std::mutex>* lock, pid_t caller,
                const std::string& kind, uint64_t after, int64_t wait_ms);
  Message Write(const std::string& kind, const std::string& name, bool create,
                const Json& body);
  void Set(const std::string& kind, const std::string& name, const Json& spec);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  std::vector<pid_t> callers_;
  std::vector<pid_t> turned_away_;
  std::vector<pid_t> cut_off_;
  uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, Json>> objects_;
  std::vector<Event> events_;
  Server server_;
};

struct TargetSettings {
  std::string id;
  std::string service;
  std::string zone;
  Address listen;
  Address control;
  int slots = 18;
  int64_t work_ms = 40;
  int64_t heartbeat_ms = 1500;
};

/// An application target: runs requests, sends heartbeats, leaves. The query of
/// a request may say how long it runs, in ms, and how long its answer is:
/// `?work=900&bytes=30000`.
class Target {
 public:
  /// Called when a request begins to run.
  using OnRun = std::function<void(const Target&, const Message&)>;

  Target(TargetSettings settings, Record* record, OnRun on_run);
  ~Target() { End(); }
  bool Start();
  /// Heartbeats sent from now on arrive late by this time, in ms.
  void DelayHeartbeats(int64_t ms) { heartbeat_delay_ms_ = ms; }
  /// Waits until the next heartbeat has been sent.
  void AwaitHeartbeat() const;
  /// Leaves without having reported it: deregisters, sends no more heartbeats
  /// and goes on serving until End(). True if it was acknowledged.
  bool Deregister();
  /// Ends the process of the target.
  void End();
  const TargetSettings& Settings() const { return settings_; }
  /// Time of the acknowledgement of Deregister(); 0: none.
  int64_t LeftAt() const { return left_at_; }

 private:
  bool Handle(Connection* connection, const Message& request);
  void HeartbeatLoop();

  TargetSettings settings_;
  Record* record_;
  OnRun on_run_;
  Server server_;
  int64_t born_ms_;
  std::atomic<int64_t> sequence_{0};
  std::atomic<int64_t> heartbeat_delay_ms_{0};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> ended_{false};
  std::atomic<int64_t> left_at_{0};
  std::atomic<int> running_{0};
  std::thread heartbeats_;
  std::mutex late_mutex_;
  std::vector<std::thread> late_;  ///< Heartbeats under way.
};

/// A daemon of the system, run by the command of the deploy file.
class Daemon {
 public:
  Daemon(std::string program, std::string settings, std::string log)
      : program_(std::move(program)),
        settings_(std::move(settings)),
        log_(std::move(log)) {}
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  bool Start();
  void Signal(int signal);
  /// Ends the process with SIGKILL and waits for it.
  void Kill();
  /// Whether the process has ended by itself; describes how.
  bool HasEnded(std::string* how);
  pid_t Pid() const { return pid_; }

 private:
  std::string program_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = -1;
};

struct MachineSettings {
  std::string name;
  std::string zone;
  std::string service;
  std::string ip;
};

/// One machine: target and daemon.
struct Machine {
  MachineSettings settings;
  Address outbound, ready, control, metrics;
  std::unique_ptr<Target> target;
  std::unique_ptr<Daemon> daemon;
};

struct FleetSettings {
  std::string program;  ///< Path of the daemon.
  std::string dir;      ///< Folder for settings files and logs.
  int machines_per_zone = 3;
  int64_t work_ms = 40;
  int64_t memory_mb = 260;
};

/// A deployment of four zones with a target of each of three services, laid out
/// like the blanket relay.
class Fleet {
 public:
  Fleet(FleetSettings settings, Record* record, Target::OnRun on_run);
  ~Fleet();
  /// Starts store, targets and daemons. False if an address is not free or a
  /// process does not start.
  bool Start();
  /// Waits until all daemons are ready; false after `timeout_ms`.
  bool AwaitReady(int64_t timeout_ms);
  void Stop();
  Store& TheStore() { return *store_; }
  std::vector<std::unique_ptr<Machine>>& Machines() { return machines_; }
  std::vector<Machine*> OfService(const std::string& service);
  /// The configuration with the given version.
  static Json Configuration(int version);

 private:
  bool FindPorts();
  void WriteSettings(const Machine& machine, const std::string& path) const;

  FleetSettings settings_;
  Record* record_;
  Target::OnRun on_run_;
  int base_port_ = 0;
  Address store_address_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Machine>> machines_;
};

inline constexpr char kHost[] = "jepu9.example";

/// A client's request with an id of its own.
Message ClientRequest(const std::string& method, const std::string& target,
                      const std::string& id, int64_t deadline_ms,
                      const std::string& body);

}  // namespace review

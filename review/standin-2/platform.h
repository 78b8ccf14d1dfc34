#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "review/standin-2/net.h"

namespace review {

/// Ports of one machine on 127.0.0.1.
struct MachinePorts {
  explicit MachinePorts(int first) : first_(first) {}
  uint16_t Inbound() const { return At(0); }
  uint16_t Outbound() const { return At(1); }
  uint16_t Ready() const { return At(2); }
  uint16_t Control() const { return At(3); }
  uint16_t App() const { return At(4); }
  uint16_t Internal() const { return At(5); }

 private:
  uint16_t At(int offset) const {
    return static_cast<uint16_t>(first_ + offset);
  }
  int first_;
};

/// Writes the settings file of a daemon, in the format of the platform.
void WriteSettings(const std::string& path, int number,
                   const MachinePorts& ports, const std::string& zone,
                   const std::string& service, uint16_t store_port,
                   int memory_mb = 260);

/// One route of a configuration.
struct RouteSpec {
  std::string name;
  std::string kind;
  std::string prefix;
  std::string service;
  double timeout_s = 1.5;
};

/// Text of a configuration document.
std::string ConfigurationText(int version, const std::string& host,
                              const std::vector<RouteSpec>& routes,
                              const std::vector<std::string>& services);

/// The platform's store: lists, watches and conditional writes.
class Store {
 public:
  Store(Loop* loop, uint16_t port);
  bool Listening() const { return server_.Listening(); }
  /// Writes the spec of an object.
  void Put(const std::string& kind, const std::string& name,
           const std::string& spec);

 private:
  struct Object {
    uint64_t revision = 0;
    std::string spec = "{}";
    std::string status = "{}";
  };
  struct Watch {
    uint64_t connection = 0;
    std::string kind;
    uint64_t number = 0;
  };

  void OnRequest(uint64_t connection, const Message& request);
  void OnWrite(uint64_t connection, const Message& request,
               const std::string& kind, std::string name);
  void OnWatch(uint64_t connection, const std::string& kind,
               const std::string& query);
  static std::string ObjectText(const std::string& name, const Object& object);
  std::string EventsAfter(const std::string& kind, uint64_t revision) const;
  void Touch(const std::string& kind);

  Loop* loop_;
  Server server_;
  uint64_t revision_ = 10;
  uint64_t next_watch_ = 1;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Watch> watches_;
};

/// A daemon that the platform runs: started by the command of the deploy file,
/// killed if its memory exceeds that of its machine, and restarted.
class DaemonProcess {
 public:
  DaemonProcess(std::string program, std::string settings, std::string log);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  void Start();
  void Signal(int signal) const;
  /// Whether it has ended; reaps it.
  bool Ended();
  bool Running() const { return pid_ > 0; }
  int Pid() const { return pid_; }
  /// Resident memory now, in bytes; 0 if it does not run.
  int64_t MemoryBytes() const;

 private:
  std::string program_;
  std::string settings_;
  std::string log_;
  int pid_ = -1;
};

/// What a client sent, and what became of it.
struct Sent {
  std::string method;
  std::string target;
  std::string body;
  std::string caller;  ///< Service of the machine where it began.
  bool unsafe = false;
  int status = 0;
  bool own_answer = false;  ///< Without the signature of a target.
  int runs = 0;
  std::string fault;  ///< What a target found wrong in it.
};

/// All requests of a run, by attempt id.
class Journal {
 public:
  void Add(const std::string& id, Sent sent);
  void Answered(const std::string& id, int status, bool signed_by_target);
  /// A target begins to run a request. Checks that it is what was sent.
  void Ran(const std::string& id, const Message& request);
  const std::map<std::string, Sent>& All() const { return sent_; }
  /// Requests that no client sent.
  int Unknown() const { return unknown_; }
  std::mutex& Mutex() { return mutex_; }

 private:
  std::mutex mutex_;
  std::map<std::string, Sent> sent_;
  int unknown_ = 0;
};

/// A sound application target: health check, heartbeats, runs.
class Target {
 public:
  Target(Loop* loop, const MachinePorts& ports, std::string id,
         std::string service, std::string zone, Journal* journal,
         uint64_t seed);
  ~Target();
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  bool Listening() const { return server_.Listening(); }
  /// Resets a share of its connections, in 1/1000; returns how many.
  int ResetConnections(int permille);
  size_t Connections() const { return server_.Connections(); }
  int Runs() const { return runs_; }
  /// Leaves: reports draining, serves on, deregisters and ends. Returns once it
  /// has ended.
  void Leave();
  /// When it first got an answer to its report that it is draining, in ms of
  /// NowMs(); 0: never.
  int64_t LeavingAcknowledgedAt() const { return acknowledged_at_; }
  /// Length of the answers to requests below /scan/, in bytes.
  void SetScanBytes(size_t bytes) { scan_bytes_ = bytes; }
  /// Requests that reached it later than `drain_s` after that.
  int LateRequests() const { return late_; }
  /// The sequence number and the start time that its reports carry.
  int Sequence() const { return sequence_; }
  int64_t BornMs() const { return born_ms_; }

 private:
  bool SendHeartbeat();
  void OnRequest(uint64_t connection, const Message& request);
  void SendHeartbeats();

  Loop* loop_;
  MachinePorts ports_;
  std::string id_;
  std::string service_;
  std::string zone_;
  Journal* journal_;
  std::mt19937_64 random_;
  Server server_;
  int64_t born_ms_;
  std::atomic<int> runs_{0};
  std::atomic<size_t> scan_bytes_{0};
  std::atomic<int> late_{0};
  std::atomic<int> sequence_{0};
  std::atomic<bool> draining_{false};
  std::atomic<int64_t> acknowledged_at_{0};
  std::atomic<bool> stop_{false};
  std::thread heartbeats_;
};

}  // namespace review

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "banyanloft/core/time.h"

namespace banyanloft::soak {

/// What a client sent.
struct SentRequest {
  TimeMs sent_at;
  int daemon = 0;  ///< Where it was sent.
  bool idempotent = false;
  std::string service;  ///< That must run it.
  std::string target;
  std::string body;
  bool route_in_force = false;  ///< Its route is in force, by the time bound.
};

/// What reached a backend server.
struct Arrival {
  std::string service;  ///< Of the backend server.
  std::string caller;   ///< As the request names it.
  std::string target;
  std::string body;
  bool has_deadline = false;
};

/// How a request ended for its client.
struct RequestOutcome {
  TimeMs ended_at;
  int status = 0;                  ///< 0: no answer.
  bool connection_broken = false;  ///< The connection ended without an answer.
  bool client_aborted = false;     ///< The client left or waited in vain.
  bool signed_by_backend = false;
  bool body_complete = false;  ///< The body is the one that belongs to it.
  bool daemon_stable =
      false;  ///< No fault came near its daemon, long before too.
};

/// A promise and how often it was broken.
struct Violation {
  std::string name;
  int count = 0;
  std::string example;  ///< Id of a request, or other detail.
};

/// Everything that clients and backend servers saw, and the promises judged by
/// it. Deterministic; free of I/O.
class RequestHistory {
 public:
  void OnSent(const std::string& id, SentRequest sent);
  void OnArrival(const std::string& id, const Arrival& arrival);
  void OnOutcome(const std::string& id, const RequestOutcome& outcome);
  /// A promise broken beside the requests, for example by a process.
  void AddViolation(const std::string& invariant, const std::string& example);

  int SentCount() const { return static_cast<int>(entries_.size()); }
  int ServedCount() const { return served_; }
  /// Share of the requests sent within [from, to) that were served, in 1/1000;
  /// negative if there were none.
  int ServedPermille(TimeMs from, TimeMs to) const;
  /// Every promise that was broken. `planned_only`: there was no unplanned
  /// fault, so that none may be lost.
  std::vector<Violation> Check(bool planned_only) const;

 private:
  struct Entry {
    SentRequest sent;
    int runs = 0;
    RequestOutcome outcome;
  };

  std::map<std::string, Entry> entries_;
  std::map<std::string, Violation> violations_;
  int served_ = 0;
};

}  // namespace banyanloft::soak

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "banyanloft/core/time.h"

namespace banyanloft::soak {

/// A request as sent by a client.
struct SentRequest {
  TimeMs sent_at;
  int daemon = 0;  ///< Index of the daemon that it was sent to.
  bool idempotent = false;
  std::string service;  ///< Service that has to run it.
  std::string target;
  std::string body;
  bool route_in_force = false;  ///< The daemon must know its route by now.
};

/// A request as received by a backend server.
struct Arrival {
  std::string service;  ///< Of the backend server.
  std::string caller;   ///< As named in the request.
  std::string target;
  std::string body;
  bool has_deadline = false;
};

/// The outcome of a request as seen by its client.
struct RequestOutcome {
  TimeMs ended_at;
  int status = 0;                  ///< 0: no response.
  bool connection_broken = false;  ///< Closed without a response.
  bool client_aborted = false;     ///< Cancelled by the client or never sent.
  bool signed_by_backend = false;
  bool body_matches = false;   ///< The body is the expected one.
  bool daemon_stable = false;  ///< Its daemon was stable; see Soak::IsStable.
};

/// An invariant and how often it was violated.
struct Violation {
  std::string name;
  int count = 0;
  std::string example;  ///< Id of a request, or another detail.
};

/// Records what clients and backend servers observe and checks the invariants
/// against it. Deterministic; performs no I/O.
class RequestHistory {
 public:
  void OnSent(const std::string& id, SentRequest sent);
  void OnArrival(const std::string& id, const Arrival& arrival);
  void OnOutcome(const std::string& id, const RequestOutcome& outcome);
  /// Adds a violation that Check cannot derive from the requests, such as a
  /// daemon that exited by itself.
  void AddViolation(const std::string& invariant, const std::string& example);

  int SentCount() const { return static_cast<int>(entries_.size()); }
  int ServedCount() const { return served_; }
  /// Share of the requests sent within [from, to) that were served, in 1/1000;
  /// negative if there were none. Requests aborted by the client do not count.
  int ServedPermille(TimeMs from, TimeMs to) const;
  /// Returns all violations. `planned_only`: no unplanned fault was injected,
  /// so that no request may be lost.
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

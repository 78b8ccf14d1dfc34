#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "banyanloft/core/time.h"

namespace banyanloft::soak {

/// What a client sent.
struct Asked {
  TimeMs at;
  int daemon = 0;  ///< Where it was sent.
  bool idempotent = false;
  std::string service;  ///< That must run it.
  std::string target;
  std::string body;
  bool must_exist = false;  ///< Its route is in force, by the time bound.
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
struct Ended {
  TimeMs at;
  int status = 0;        ///< 0: no answer.
  bool broken = false;   ///< The connection ended without an answer.
  bool gave_up = false;  ///< The client left or waited in vain.
  bool signed_by_backend = false;
  bool whole = false;     ///< The body is the one that belongs to it.
  bool in_touch = false;  ///< No fault came near its daemon, long before too.
};

/// A promise and how often it was broken.
struct Promise {
  std::string name;
  int broken = 0;
  std::string example;  ///< Id of a request, or other detail.
};

/// Everything that clients and backend servers saw, and the promises judged by
/// it. Deterministic; free of I/O.
class RequestBook {
 public:
  void OnAsked(const std::string& id, Asked asked);
  void OnArrival(const std::string& id, const Arrival& arrival);
  void OnEnded(const std::string& id, const Ended& ended);
  /// A promise broken beside the requests, for example by a process.
  void Note(const std::string& promise, const std::string& example);

  int AskedCount() const { return static_cast<int>(entries_.size()); }
  int ServedCount() const { return served_; }
  /// Share of the requests sent within [from, to) that were served, in 1/1000;
  /// negative if there were none.
  int ServedPermille(TimeMs from, TimeMs to) const;
  /// Every promise that was broken. `planned_only`: there was no unplanned
  /// fault, so that none may be lost.
  std::vector<Promise> Judge(bool planned_only) const;

 private:
  struct Entry {
    Asked asked;
    int runs = 0;
    Ended ended;
  };

  std::map<std::string, Entry> entries_;
  std::map<std::string, Promise> noted_;
  int served_ = 0;
};

}  // namespace banyanloft::soak

#include "standins/mesh_store.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "platform/wire_names.h"

namespace banyanloft {
namespace {

namespace wire = banyanloft::platform;

constexpr int64_t kSlowResponseMs = 500;
constexpr int kThrottledPermille = 500;

HttpServerSettings SettingsOf(const Endpoint& listen) {
  HttpServerSettings settings;
  settings.listen = listen;
  return settings;
}

void RunAfter(boost::asio::io_context& io, int64_t ms,
              std::function<void()> callback) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io);
  timer->expires_after(std::chrono::milliseconds(ms));
  timer->async_wait([timer, callback = std::move(callback)](
                        boost::system::error_code) { callback(); });
}

}  // namespace

MeshStore::MeshStore(boost::asio::io_context& io, const Endpoint& listen,
                     uint64_t seed)
    : io_(io), random_(seed), server_(io, SettingsOf(listen), this) {}

void MeshStore::Put(const std::string& kind, const std::string& name,
                    Json spec) {
  SetPart(kind, name, wire::field::kSpec, std::move(spec));
}

/// Replaces the spec or the status of an object, and answers watches.
void MeshStore::SetPart(const std::string& kind, const std::string& name,
                        const char* part, Json value) {
  Json& object = objects_[kind][name];
  object["metadata"] = {{"name", name}, {"revision", ++revision_}};
  object[part] = std::move(value);
  std::vector<Watch> pending;
  pending.swap(watches_);
  for (Watch& watch : pending) {
    if (watch.kind != kind) {
      watches_.push_back(watch);
      continue;
    }
    Reply(watch.request, 200,
          {{"events", {{{"deleted", false}, {"object", object}}}},
           {"current_rev", revision_}});
  }
}

void MeshStore::Restore() {
  objects_ = copy_.objects;
  revision_ = copy_.revision;
  compacted_revision_ = std::min(compacted_revision_, revision_);
  ++era_;
  std::vector<Watch> pending;
  pending.swap(watches_);
  for (const Watch& watch : pending) Reply(watch.request, 503, Json::object());
}

void MeshStore::OnRequest(uint64_t id, HttpRequest request) {
  switch (fault_) {
    case StoreFault::kUnavailable:
      return Reply(id, 503, Json::object());
    case StoreFault::kThrottles:
      if (random_.ChancePermille(kThrottledPermille))
        return Reply(id, 429, Json::object());
      break;
    case StoreFault::kSlow:
      return RunAfter(io_, kSlowResponseMs,
                      [this, id, request] { Serve(id, request); });
    case StoreFault::kNone:
    case StoreFault::kDropsResponses:
      break;
  }
  Serve(id, request);
}

void MeshStore::Serve(uint64_t id, const HttpRequest& request) {
  std::string path =
      PathOf(request.target).substr(std::string(wire::path::kObjects).size());
  std::string kind = path.substr(0, path.find('/'));
  if (request.method != "GET") return Write(id, kind, request);
  if (!QueryOf(request.target, "watch").empty())
    return StartWatch(id, kind, request);
  Json items = Json::array();
  for (const auto& [name, object] : objects_[kind]) items.push_back(object);
  Reply(id, 200,
        {{"items", items}, {"more", false}, {"current_rev", revision_}});
}

void MeshStore::OnAbandoned(uint64_t id) {
  watches_.erase(
      std::remove_if(watches_.begin(), watches_.end(),
                     [&](const Watch& w) { return w.request == id; }),
      watches_.end());
}

HttpResponse MeshStore::OnRefused(ErrorKind) {
  HttpResponse response;
  response.status = 400;
  return response;
}

void MeshStore::Write(uint64_t id, const std::string& kind,
                      const HttpRequest& request) {
  Json body = ParseJson(request.body);
  std::string name = body["metadata"].value("name", "");
  uint64_t expected = body["metadata"].value("revision", uint64_t{0});
  auto found = objects_[kind].find(name);
  bool exists = found != objects_[kind].end();
  bool create = request.method == "POST";
  std::string path = PathOf(request.target);
  std::string suffix = wire::path::kStatus;
  bool is_status =
      path.size() > suffix.size() &&
      path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
  uint64_t current =
      exists ? found->second["metadata"]["revision"].get<uint64_t>() : 0;
  if (create == exists || (!create && expected != current))
    return Reply(id, 409, Json::object());
  const char* part = is_status ? wire::field::kStatus : wire::field::kSpec;
  SetPart(kind, name, part, body[part]);
  Reply(id, 200, objects_[kind][name]);
}

void MeshStore::StartWatch(uint64_t id, const std::string& kind,
                           const HttpRequest& request) {
  uint64_t after = std::stoull(QueryOf(request.target, "watch"));
  if (after < compacted_revision_ || after > revision_)
    return Reply(id, 410, Json::object());
  Json events = Json::array();
  for (const auto& [name, object] : objects_[kind]) {
    if (object["metadata"]["revision"].get<uint64_t>() > after)
      events.push_back({{"deleted", false}, {"object", object}});
  }
  if (!events.empty())
    return Reply(id, 200, {{"events", events}, {"current_rev", revision_}});
  watches_.push_back({id, kind});
  int64_t wait_ms = std::stoll(QueryOf(request.target, "wait_ms"));
  RunAfter(io_, wait_ms, [this, id] {
    size_t before = watches_.size();
    OnAbandoned(id);
    if (watches_.size() == before) return;
    Reply(id, 200, {{"events", Json::array()}, {"current_rev", revision_}});
  });
}

void MeshStore::Reply(uint64_t id, int status, const Json& body) {
  if (fault_ == StoreFault::kDropsResponses) return;
  HttpResponse response;
  response.status = status;
  response.content_type = "application/json";
  response.headers.emplace_back(wire::header::kStoreEra, std::to_string(era_));
  response.body = body.dump();
  server_.Reply(id, std::move(response));
}

}  // namespace banyanloft

#include "banyanloft/membership/rendezvous.h"

#include <algorithm>

#include "banyanloft/config/json.h"

namespace banyanloft {
namespace {

bool Contains(const std::vector<std::string>& list, const std::string& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

/// At most `max_addresses`: any program may have written the entry.
std::vector<std::string> AddressesOf(const Json& json, size_t max_addresses) {
  std::vector<std::string> out;
  JsonReader fields(json);
  const Json* list = fields.Find("gossip");
  if (list == nullptr || !list->is_array()) return out;
  for (const Json& item : *list) {
    if (out.size() >= max_addresses) break;
    if (item.is_string()) out.push_back(item.get<std::string>());
  }
  return out;
}

size_t SizeField(const Json& json, const char* name) {
  JsonReader fields(json);
  const Json* value = fields.Find(name);
  bool valid = value != nullptr && value->is_number_unsigned();
  return valid ? value->get<size_t>() : 0;
}

StartupLoad LoadOf(const Json& json) {
  return {SizeField(json, "members"), SizeField(json, "document_bytes")};
}

/// True if the values differ by more than a factor of two; smaller changes are
/// not written.
bool DiffersTwofold(size_t listed, size_t now) {
  return now / 2 > listed || listed / 2 > now || (listed == 0) != (now == 0);
}

}  // namespace

Rendezvous::Rendezvous(const RendezvousSettings& settings, std::string zone,
                       std::string own_address, uint64_t seed, TimeMs now)
    : settings_(settings),
      zone_(std::move(zone)),
      own_address_(std::move(own_address)),
      random_(seed) {
  uint64_t window = static_cast<uint64_t>(settings_.start_window_ms) + 1;
  next_read_ = now + static_cast<int64_t>(random_.Below(window));
}

bool Rendezvous::ReadDue(TimeMs now, bool isolated, bool watching) {
  if (now < next_read_ || (!isolated && !watching)) return false;
  int64_t period_ms =
      isolated ? settings_.isolated_period_ms + settings_.start_window_ms
               : settings_.refresh_period_ms;
  uint64_t jitter = random_.Below(static_cast<uint64_t>(period_ms) / 2 + 1);
  next_read_ = now + period_ms * 3 / 4 + static_cast<int64_t>(jitter);
  return true;
}

std::vector<std::string> Rendezvous::OnRead(const std::vector<Entry>& entries) {
  std::vector<std::string> all;
  read_done_ = true;
  revision_ = 0;
  stored_addresses_.clear();
  stored_load_ = max_load_ = StartupLoad{};
  for (const Entry& entry : entries) {
    Json json = ParseJson(entry.value);
    std::vector<std::string> addresses = AddressesOf(json, settings_.addresses);
    StartupLoad load = LoadOf(json);
    max_load_.members = std::max(max_load_.members, load.members);
    max_load_.document_bytes =
        std::max(max_load_.document_bytes, load.document_bytes);
    all.insert(all.end(), addresses.begin(), addresses.end());
    if (entry.zone != zone_) continue;
    revision_ = entry.revision;
    stored_addresses_ = std::move(addresses);
    stored_load_ = load;
  }
  return all;
}

std::optional<Rendezvous::Write> Rendezvous::WriteDue(
    bool watching, const std::vector<std::string>& live,
    const std::vector<std::string>& dead, const StartupLoad& load) {
  if (!read_done_ || !watching) return std::nullopt;
  read_done_ = false;

  // Unknown addresses may belong to another partition and are kept.
  std::vector<std::string> next;
  for (const std::string& address : stored_addresses_) {
    if (!Contains(dead, address) || Contains(live, address))
      next.push_back(address);
  }
  bool changed = next.size() != stored_addresses_.size();
  if (!Contains(next, own_address_)) {
    next.insert(next.begin(), own_address_);
    changed = true;
  }
  for (const std::string& address : live) {
    if (next.size() >= settings_.addresses) break;
    if (Contains(next, address)) continue;
    next.push_back(address);
    changed = true;
  }
  if (next.size() > settings_.addresses) next.resize(settings_.addresses);
  changed = changed || DiffersTwofold(stored_load_.members, load.members) ||
            DiffersTwofold(stored_load_.document_bytes, load.document_bytes);
  if (!changed) return std::nullopt;
  Json value{{"gossip", next},
             {"members", load.members},
             {"document_bytes", load.document_bytes}};
  return Write{value.dump(), revision_};
}

void Rendezvous::OnFailure() { read_done_ = false; }

}  // namespace banyanloft

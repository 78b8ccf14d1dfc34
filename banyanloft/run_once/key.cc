#include "banyanloft/run_once/key.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

constexpr char kPrefix[] = "k1";
constexpr size_t kMaxKeyBytes = 200;

std::string SignedPart(const RunKey& key) {
  return fmt::format("{}.{:x}.{:x}.{:x}", kPrefix, key.home, key.epoch,
                     key.nonce);
}

std::string MacOf(const RunKey& key, const std::string& secret) {
  return KeyedHash(secret, "key " + SignedPart(key) + " " + key.route);
}

bool ParseHex(std::string_view text, uint64_t* value) {
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *value, 16);
  return error == std::errc() && end == text.data() + text.size();
}

}  // namespace

std::string MemberName(MemberId id) { return fmt::format("{:016x}", id); }

std::string FormatKey(const RunKey& key, const std::string& secret) {
  return SignedPart(key) + "." + MacOf(key, secret);
}

Result<RunKey> ParseKey(const std::string& text, const std::string& route,
                        const std::string& secret) {
  Error invalid{ErrorKind::kKeyInvalid, "the key is not one of route " + route};
  if (text.size() > kMaxKeyBytes) return invalid;

  std::array<std::string_view, 5> parts;
  std::string_view rest = text;
  for (size_t i = 0; i < parts.size(); ++i) {
    size_t dot = rest.find('.');
    bool last = i + 1 == parts.size();
    if (last != (dot == std::string_view::npos)) return invalid;
    parts[i] = rest.substr(0, dot);
    rest = last ? std::string_view() : rest.substr(dot + 1);
  }

  RunKey key;
  key.route = route;
  bool parsed = parts[0] == kPrefix && ParseHex(parts[1], &key.home) &&
                ParseHex(parts[2], &key.epoch) &&
                ParseHex(parts[3], &key.nonce);
  if (!parsed || !ConstantTimeEquals(parts[4], MacOf(key, secret)))
    return invalid;
  return key;
}

}  // namespace banyanloft

#include "banyanloft/http/http_message.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace banyanloft {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

std::string_view HeaderOf(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) return value;
  }
  return {};
}

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

std::string QueryOf(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    size_t end = target.find('&', at + 1);
    std::string pair =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    size_t equals = pair.find('=');
    if (equals != std::string::npos && pair.substr(0, equals) == name)
      return pair.substr(equals + 1);
    at = end;
  }
  return "";
}

bool ParseEndpoint(const std::string& text, Endpoint* endpoint) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  in_addr address{};
  std::string ip = text.substr(0, colon);
  if (inet_pton(AF_INET, ip.c_str(), &address) != 1) return false;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  uint16_t port = 0;
  auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last) return false;
  endpoint->ip = ip;
  endpoint->port = port;
  return true;
}

}  // namespace banyanloft

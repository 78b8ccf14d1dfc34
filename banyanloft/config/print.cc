#include "banyanloft/config/print.h"

#include <fmt/format.h>

#include <set>
#include <sstream>
#include <vector>

namespace banyanloft {
namespace {

/// Formats one configuration, one resource per line.
class Printer {
 public:
  Printer(const Configuration& configuration, int scheme)
      : configuration_(configuration), scheme_(scheme) {}

  std::string Run() {
    Line("schemes {}", fmt::join(configuration_.schemes, " "));
    for (size_t i = 0; i < configuration_.ranks.size(); ++i) PrintRank(i);
    for (const auto& [id, service] : configuration_.services)
      PrintService(service);
    for (const auto& [id, route] : configuration_.routes) PrintRoute(route);
    for (const Flow& flow : configuration_.flows) {
      Line("flow {} -> {}", ServiceName(flow.from), ServiceName(flow.to));
    }
    return std::move(text_);
  }

 private:
  template <typename... Args>
  void Line(fmt::format_string<Args...> format, Args&&... args) {
    text_ += fmt::format(format, std::forward<Args>(args)...);
    text_ += '\n';
  }

  void PrintRank(size_t index) {
    const Rank& rank = configuration_.ranks[index];
    Line("rank {} {}: floor {}.{}%, worth {}, target {} ms", index, rank.id,
         rank.floor_permille / 10, rank.floor_permille % 10, rank.worth,
         rank.target_ms);
  }

  void PrintService(const Service& service) {
    Line("service {}: names {}; drain {} ms, slow start {} ms",
         NameIn(service.id, service.names), Names(service.id, service.names),
         service.drain_ms, service.slow_start_ms);
  }

  void PrintRoute(const Route& route) {
    std::string runs = route.idempotent ? "idempotent" : "not idempotent";
    if (route.key_required) runs += ", key required";
    Line("route {}: names {}; service {}, rank {}, kind {}, {}, timeout {} ms",
         NameIn(route.id, route.names), Names(route.id, route.names),
         ServiceName(route.service), route.rank, route.kind, runs,
         route.timeout_ms);
  }

  std::string ServiceName(const std::string& id) const {
    auto it = configuration_.services.find(id);
    return it == configuration_.services.end() ? id
                                               : NameIn(id, it->second.names);
  }

  std::string NameIn(const std::string& id, const SchemeNames& names) const {
    if (scheme_ < 0) return id;
    const std::string& name = names[static_cast<size_t>(scheme_)];
    return name.empty() ? id : name;
  }

  std::string Names(const std::string& id, const SchemeNames& names) const {
    std::string out = "id=" + id;
    for (size_t i = 0; i < kSchemeCount; ++i) {
      if (!names[i].empty())
        out += fmt::format(" {}={}", configuration_.schemes[i], names[i]);
    }
    return out;
  }

  const Configuration& configuration_;
  int scheme_;
  std::string text_;
};

std::vector<std::string> LinesOf(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

}  // namespace

std::string PrintConfiguration(const Configuration& configuration, int scheme) {
  return Printer(configuration, scheme).Run();
}

std::string DiffConfigurations(const Configuration& before,
                               const Configuration& after, int scheme) {
  std::vector<std::string> old_lines =
      LinesOf(PrintConfiguration(before, scheme));
  std::vector<std::string> new_lines =
      LinesOf(PrintConfiguration(after, scheme));
  std::set<std::string> old_set(old_lines.begin(), old_lines.end());
  std::set<std::string> new_set(new_lines.begin(), new_lines.end());
  std::string out;
  for (const std::string& line : old_lines) {
    if (new_set.count(line) == 0) out += "- " + line + "\n";
  }
  for (const std::string& line : new_lines) {
    if (old_set.count(line) == 0) out += "+ " + line + "\n";
  }
  return out;
}

}  // namespace banyanloft

#include "banyanloft/daemon/reference.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <regex>
#include <sstream>

#include "banyanloft/daemon/metrics_page.h"
#include "standins/node_fleet.h"

using namespace banyanloft;

TEST_GROUP(reference){static std::string Read(const std::string& path){
    std::ifstream stream(std::string(BANYANLOFT_SOURCE_DIR) + "/" + path);
std::stringstream text;
text << stream.rdbuf();
return text.str();
}
}
;

TEST(reference, page_matchesGeneratedText) {
  CHECK(Read("docs/reference.md") == ReferenceText());
}

TEST(reference, everyIncrementedCounter_isInTheTable) {
  NodeFleetSettings settings;
  NodeFleet fleet(settings);
  fleet.ApplyConfiguration(SampleConfiguration());
  for (int i = 0; i < 6; ++i) fleet.Start("shop");
  fleet.Run(5000);
  for (int i = 0; i < 50; ++i) {
    CallRequest request;
    request.name = i % 2 == 0 ? "read" : "nothing";
    fleet.Call(static_cast<size_t>(i) % 6, request);
  }
  fleet.Kill(2);
  fleet.Run(10000);
  std::string text;
  for (const CounterHelp& row : CounterTable()) text += row.name + ";";
  for (const Counters* counters : fleet.NodeAt(0).AllCounters()) {
    for (const auto& [key, value] : counters->All())
      CHECK(text.find(key.first + ";") != std::string::npos);
  }
}

TEST(reference, everyLogEvent_isOnThePage) {
  std::string page = Read("docs/reference.md");
  std::regex event("Log\\(\\s*(?:banyanloft::)?LogLevel::\\w+,\\s*\"(\\w+)\"");
  for (const char* file :
       {"banyanloft/daemon/daemon.cc", "programs/banyanloftd.cc"}) {
    std::string source = Read(file);
    std::sregex_iterator begin(source.begin(), source.end(), event);
    CHECK(begin != std::sregex_iterator());
    for (auto it = begin; it != std::sregex_iterator(); ++it) {
      CHECK(page.find("`" + (*it)[1].str() + "`") != std::string::npos);
    }
  }
}

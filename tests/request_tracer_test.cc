#include "banyanloft/operator/request_tracer.h"

#include <CppUTest/TestHarness.h>

#include "banyanloft/core/random.h"

using namespace banyanloft;

TEST_GROUP(request_tracer) {
  RequestTracer tracer_;

  void Add(const std::string& source, const std::string& text) {
    std::optional<LogLine> line = ParseLogLine(text);
    CHECK(line.has_value());
    tracer_.Add(source, std::move(*line));
  }
  bool Contains(const std::vector<std::string>& lines,
                const std::string& text) {
    for (const std::string& line : lines) {
      if (line.find(text) != std::string::npos) return true;
    }
    return false;
  }
};

TEST(request_tracer, parse_readsQuotedAndUnquotedFields) {
  std::optional<LogLine> line = ParseLogLine(
      "time_ms=17 warning store_lost reason=\"status 503, \\\"late\\\"\" "
      "version=6");
  CHECK(line.has_value());
  LONGS_EQUAL(17, line->time_ms);
  STRCMP_EQUAL("store_lost", line->event.c_str());
  STRCMP_EQUAL("status 503, \"late\"", line->Field("reason").c_str());
  STRCMP_EQUAL("6", line->Field("version").c_str());
}

TEST(request_tracer, parse_collectorPrefix_yieldsProcessName) {
  std::optional<LogLine> line =
      ParseLogLine("  22.1 accra-a-3 time_ms=17 info link_lost link=10.1:7");
  STRCMP_EQUAL("accra-a-3", line->process.c_str());
}

TEST(request_tracer, parse_otherFormats_areRejected) {
  CHECK(!ParseLogLine("").has_value());
  CHECK(!ParseLogLine("time_ms=").has_value());
  CHECK(!ParseLogLine("Segmentation fault").has_value());
}

TEST(request_tracer, parse_truncatedAndCorruptedLines_doNotCrash) {
  Random random(3);
  std::string line =
      "time_ms=17 warning store_lost reason=\"status \\\" 503\" version=6";
  for (int round = 0; round < 3000; ++round) {
    std::string text = line.substr(0, random.Below(line.size() + 1));
    if (!text.empty())
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    ParseLogLine(text);
  }
}

TEST(request_tracer, overloadRejection_isTracedInOrderWithCause) {
  Add("b.log",
      "time_ms=1000 info run_refused request=q1 error=overloaded running=18 "
      "waiting=9");
  Add("a.log",
      "time_ms=1001 warning request_failed request=q1 error=overloaded "
      "run_state=not_run target=m2");
  Add("b.log", "time_ms=10 info daemon_started name=two member=m2");
  Add("a.log", "time_ms=11 info daemon_started name=one member=m1");
  std::vector<std::string> lines = tracer_.Trace("q1");
  LONGS_EQUAL(5, lines.size());
  CHECK(Contains({lines[2]}, "two  run_refused"));
  CHECK(Contains({lines[3]}, "one  request_failed"));
  CHECK(Contains({lines[4]}, "cause: overloaded: every target"));
}

TEST(request_tracer, lostTarget_showsEarlierStateChangesOfTarget) {
  Add("b.log", "time_ms=10 info daemon_started name=two member=m2");
  Add("b.log", "time_ms=900 warning instance_crashed instance=i-1");
  Add("b.log", "time_ms=910 warning instance_crashed instance=i-9 request=q7");
  Add("a.log",
      "time_ms=1001 warning request_failed request=q1 error=target_lost "
      "run_state=unknown target=m2");
  std::vector<std::string> lines = tracer_.Trace("q1");
  CHECK(Contains(lines, "two  instance_crashed instance=i-1"));
  CHECK(Contains(lines, "it may have run"));
}

TEST(request_tracer, staleConfiguration_showsStoreFailureOfThatProcessOnly) {
  Add("a.log", "time_ms=10 info daemon_started name=one member=m1");
  Add("a.log", "time_ms=500 warning store_lost reason=x version=4");
  Add("a.log",
      "time_ms=1001 warning request_refused request=q1 error=unknown_route "
      "version=4");
  Add("c.log", "time_ms=600 info version_adopted version=5 before=4");
  std::vector<std::string> lines = tracer_.Trace("q1");
  CHECK(Contains(lines, "store_lost"));
  CHECK(Contains(lines, "cause: unknown_route"));
  CHECK(!Contains(lines, "version_adopted"));
}

TEST(request_tracer, unknownRequest_yieldsEmptyTrace) {
  Add("a.log", "time_ms=10 info daemon_started name=one member=m1");
  LONGS_EQUAL(0, tracer_.Trace("q1").size());
}

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "banyanloft/config/builder.h"
#include "banyanloft/config/print.h"
#include "banyanloft/config/snapshot.h"
#include "banyanloft/core/digest.h"
#include "banyanloft/core/option_table.h"
#include "banyanloft/operator/operator_session.h"
#include "banyanloft/store/memory_platform.h"
#include "standins/node_fleet.h"

using namespace banyanloft;

namespace {

/// A platform with injected faults.
class FaultyPlatform final : public Platform {
 public:
  PlatformReply Do(const PlatformCall& call) override {
    bool write = call.type == PlatformCall::Type::kWrite;
    if (before_head_write && write && call.key == HeadKey()) {
      auto hook = std::move(before_head_write);
      before_head_write = nullptr;
      hook();
    }
    if (unavailable) return Unavailable();
    PlatformReply reply = store.Do(call);
    if (write && call.key == HeadKey() && lost_head_responses > 0) {
      --lost_head_responses;
      return Unavailable();
    }
    return reply;
  }

  static PlatformReply Unavailable() {
    PlatformReply reply;
    reply.error = Error{ErrorKind::kPlatformUnavailable, "injected fault"};
    return reply;
  }

  MemoryPlatform store;
  bool unavailable = false;
  int lost_head_responses = 0;
  std::function<void()> before_head_write;
};

}  // namespace

TEST_GROUP(operator) {
  FaultyPlatform platform_;
  OperatorSession session_{OperatorSettings(), &platform_, [](int64_t) {}};
  OperatorSession other_session_{OtherSettings(), &platform_, [](int64_t) {}};

  static OperatorSettings OtherSettings() {
    OperatorSettings settings;
    settings.author = "rival";
    settings.seed = 2;
    return settings;
  }
  static ChangePlan PlanOf(OperatorSession & session, int marker) {
    Result<ChangePlan> plan =
        session.Plan(SampleConfiguration(marker), "a note");
    CHECK(ValueOf(plan) != nullptr);
    return *ValueOf(plan);
  }
  static std::string PathsOf(const Configuration& configuration) {
    std::string paths;
    for (const ConfigurationError& error : ValidateConfiguration(configuration))
      paths += error.path + ";";
    return paths;
  }
};

TEST(operator, firstChange_becomesVersionOne) {
  Result<HeadEntry> entry = session_.Apply(PlanOf(session_, 0));
  CHECK_EQUAL(1U, ValueOf(entry)->version);
  Result<ActiveConfiguration> active = session_.Read();
  CHECK(PrintConfiguration(ValueOf(active)->configuration, -1) ==
        PrintConfiguration(SampleConfiguration(0), -1));
}

TEST(operator, concurrentApply_oneSucceedsAndOtherGetsConflict) {
  ChangePlan first = PlanOf(session_, 1);
  ChangePlan second = PlanOf(other_session_, 2);
  CHECK(ValueOf(other_session_.Apply(second)) != nullptr);
  Result<HeadEntry> rejected = session_.Apply(first);
  CHECK(ErrorOf(rejected)->kind == ErrorKind::kConflict);
  CHECK(ErrorOf(rejected)->detail.find("rival") != std::string::npos);
}

TEST(operator, responseLostAfterWrite_changeIsReportedAccepted) {
  platform_.lost_head_responses = 1;
  Result<HeadEntry> entry = session_.Apply(PlanOf(session_, 1));
  CHECK_EQUAL(1U, ValueOf(entry)->version);
  Result<ActiveConfiguration> active = session_.Read();
  CHECK_EQUAL(1U, ValueOf(active)->head.entries.size());
}

TEST(operator, responseLostThenOtherChange_firstChangeStaysInHistory) {
  platform_.lost_head_responses = 1;
  ChangePlan plan = PlanOf(session_, 1);
  // The other operator's change is accepted after the first Apply() has
  // recovered from its lost response.
  int writes = 0;
  platform_.before_head_write = [&] { ++writes; };
  Result<HeadEntry> entry = session_.Apply(plan);
  CHECK_EQUAL(1, writes);
  CHECK(ValueOf(other_session_.Apply(PlanOf(other_session_, 2))) != nullptr);
  Result<ActiveConfiguration> active = session_.Read();
  CHECK(ValueOf(active)->head.FindChange(ValueOf(entry)->change_id) != nullptr);
  CHECK_EQUAL(2U, ValueOf(active)->head.Newest().version);
}

TEST(operator, otherChangeJustBeforeHeadWrite_returnsConflict) {
  ChangePlan plan = PlanOf(session_, 1);
  platform_.before_head_write = [&] {
    CHECK(ValueOf(other_session_.Apply(PlanOf(other_session_, 2))) != nullptr);
  };
  Result<HeadEntry> rejected = session_.Apply(plan);
  CHECK(ErrorOf(rejected)->kind == ErrorKind::kConflict);
}

TEST(operator, platformUnavailable_returnsErrorAndWritesNothing) {
  ChangePlan plan = PlanOf(session_, 1);
  platform_.unavailable = true;
  CHECK(ErrorOf(session_.Apply(plan))->kind == ErrorKind::kPlatformUnavailable);
  platform_.unavailable = false;
  CHECK_EQUAL(0U, ValueOf(session_.Read())->head.entries.size());
}

TEST(operator, rollback_createsNewVersionWithOldContent) {
  session_.Apply(PlanOf(session_, 1));
  session_.Apply(PlanOf(session_, 2));
  Result<ChangePlan> plan = session_.PlanRollback(1);
  Result<HeadEntry> entry = session_.Apply(*ValueOf(plan));
  CHECK_EQUAL(3U, ValueOf(entry)->version);
  Result<ActiveConfiguration> active = session_.Read();
  CHECK(PrintConfiguration(ValueOf(active)->configuration, -1) ==
        PrintConfiguration(SampleConfiguration(1), -1));
  CHECK(ErrorOf(session_.PlanRollback(99)) != nullptr);
}

TEST(operator, manyChanges_historyStaysBounded) {
  for (int i = 0; i < 60; ++i)
    CHECK(ValueOf(session_.Apply(PlanOf(session_, i))) != nullptr);
  Result<ActiveConfiguration> active = session_.Read();
  CHECK_EQUAL(Head::kHistory, ValueOf(active)->head.entries.size());
  CHECK_EQUAL(60U, ValueOf(active)->head.Newest().version);
}

TEST(operator, invalidConfiguration_everyErrorIsReportedWithItsPath) {
  Configuration invalid = SampleConfiguration();
  invalid.routes.at("read").service = "nowhere";
  invalid.routes.at("pay").rank = "royal";
  invalid.routes.at("post").timeout_ms = 0;
  invalid.services.at("other").names[0] = "n.shop";
  invalid.ranks[0].floor_permille = 900;
  invalid.flows.push_back({"shop", "other"});
  // Of two services with the same name, the second one is reported.
  std::string paths = PathsOf(invalid);
  for (const char* path :
       {"routes/read.service;", "routes/pay.rank;", "routes/post.timeout_ms;",
        "services/shop.names.north;", "ranks;", "flows;"}) {
    CHECK(paths.find(path) != std::string::npos);
  }
  CHECK(PathsOf(SampleConfiguration()).empty());
}

TEST(operator, sameNameInTwoSchemesForDifferentRoutes_isRejected) {
  Configuration invalid = SampleConfiguration();
  invalid.routes.at("pay").names[1] = "n.shop/read";
  CHECK(PathsOf(invalid).find("routes/") != std::string::npos);
}

TEST(operator, planWithErrors_isNotApplied) {
  Configuration invalid = SampleConfiguration();
  invalid.routes.at("read").service = "nowhere";
  Result<ChangePlan> plan = session_.Plan(invalid, "");
  CHECK(ErrorOf(session_.Apply(*ValueOf(plan)))->kind ==
        ErrorKind::kInvalidConfiguration);
}

TEST(operator, jsonAndPieces_roundTrip) {
  Configuration sample = SampleConfiguration(3);
  Result<Configuration> from_json =
      ConfigurationFromJson(ConfigurationToJson(sample));
  CHECK(PrintConfiguration(*ValueOf(from_json), -1) ==
        PrintConfiguration(sample, -1));
  Result<Configuration> from_pieces = JoinPieces(SplitIntoPieces(sample));
  CHECK(PrintConfiguration(*ValueOf(from_pieces), -1) ==
        PrintConfiguration(sample, -1));
}

TEST(operator, print_usesRequestedScheme) {
  std::string text = PrintConfiguration(SampleConfiguration(), 2);
  CHECK(text.find("route c.shop/read:") != std::string::npos);
  CHECK(text.find("service c.shop,") != std::string::npos);
}

TEST(operator, randomText_isHandledByAllParsers) {
  bool holds = rc::check([] {
    auto text = *rc::gen::arbitrary<std::string>();
    ConfigurationFromJson(text);
    ManifestFromJson(text);
    HeadFromJson(text);
    ZoneSummaryFromJson(text);
    Pieces pieces = SplitIntoPieces(SampleConfiguration());
    pieces["service/shop"] = text;
    RC_ASSERT(ErrorOf(JoinPieces(pieces)) != nullptr);
  });
  CHECK(holds);
}

TEST(operator, corruptedJson_isHandledByParserAndValidator) {
  std::string text = ConfigurationToJson(SampleConfiguration());
  bool holds = rc::check([&] {
    std::string corrupted = text;
    auto at = *rc::gen::inRange<size_t>(0, text.size());
    corrupted[at] = *rc::gen::arbitrary<char>();
    Result<Configuration> read = ConfigurationFromJson(corrupted);
    if (ValueOf(read) != nullptr) ValidateConfiguration(*ValueOf(read));
  });
  CHECK(holds);
}

TEST(operator, settings_allErrorsAreReported) {
  std::string zone;
  int64_t number = 5;
  std::string address;
  OptionTable table;
  table.Text("zone", &zone, "", true);
  table.Number("number", &number, 1, 10, "");
  table.Address("address", &address, "");
  const char* arguments[] = {"program", "--number", "11", "--address",
                             "nowhere"};
  OptionTable::Parsed parsed = table.Parse(5, arguments);
  CHECK_EQUAL(3U, parsed.errors.size());
}

TEST(operator, settings_flagOverridesEnvironmentVariable) {
  int64_t number = 5;
  OptionTable table;
  table.Number("test-number", &number, 1, 10, "");
  setenv("BANYANLOFT_TEST_NUMBER", "7", 1);
  const char* none[] = {"program"};
  CHECK_EQUAL(0U, table.Parse(1, none).errors.size());
  CHECK_EQUAL(7, number);
  const char* flag[] = {"program", "--test-number=9"};
  table.Parse(2, flag);
  CHECK_EQUAL(9, number);
  unsetenv("BANYANLOFT_TEST_NUMBER");
}

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

/// A platform that fails as told.
class FaultyPlatform final : public Platform {
 public:
  PlatformReply Do(const PlatformCall& call) override {
    bool write = call.type == PlatformCall::Type::kWrite;
    if (before_head_write && write && call.key == HeadKey()) {
      auto act = std::move(before_head_write);
      before_head_write = nullptr;
      act();
    }
    if (out) return Unavailable();
    PlatformReply reply = store.Do(call);
    if (write && call.key == HeadKey() && lose_head_answers > 0) {
      --lose_head_answers;
      return Unavailable();
    }
    return reply;
  }

  static PlatformReply Unavailable() {
    PlatformReply reply;
    reply.error = Error{ErrorKind::kPlatformUnavailable, "told to fail"};
    return reply;
  }

  MemoryPlatform store;
  bool out = false;
  int lose_head_answers = 0;
  std::function<void()> before_head_write;
};

}  // namespace

TEST_GROUP(operator) {
  FaultyPlatform platform_;
  OperatorSession session_{OperatorSettings(), &platform_, [](int64_t) {}};
  OperatorSession rival_{RivalSettings(), &platform_, [](int64_t) {}};

  static OperatorSettings RivalSettings() {
    OperatorSettings settings;
    settings.author = "rival";
    settings.seed = 2;
    return settings;
  }
  static ChangePlan PlanOf(OperatorSession & session, int mark) {
    Result<ChangePlan> plan = session.Plan(SampleConfiguration(mark), "a note");
    CHECK(ValueOf(plan) != nullptr);
    return *ValueOf(plan);
  }
  static std::string PlacesOf(const Configuration& configuration) {
    std::string places;
    for (const ConfigurationError& mistake :
         ValidateConfiguration(configuration))
      places += mistake.path + ";";
    return places;
  }
};

TEST(operator, firstChange_becomesVersionOne) {
  Result<HeadEntry> entry = session_.Apply(PlanOf(session_, 0));
  CHECK_EQUAL(1U, ValueOf(entry)->version);
  Result<ActiveConfiguration> view = session_.Read();
  CHECK(PrintConfiguration(ValueOf(view)->configuration, -1) ==
        PrintConfiguration(SampleConfiguration(0), -1));
}

TEST(operator, racingOperators_exactlyOneWinsAndTheOtherSeesTheConflict) {
  ChangePlan first = PlanOf(session_, 1);
  ChangePlan second = PlanOf(rival_, 2);
  CHECK(ValueOf(rival_.Apply(second)) != nullptr);
  Result<HeadEntry> lost = session_.Apply(first);
  CHECK(ErrorOf(lost)->kind == ErrorKind::kConflict);
  CHECK(ErrorOf(lost)->detail.find("rival") != std::string::npos);
}

TEST(operator, answerLostAfterEffect_isRecognisedAsAccepted) {
  platform_.lose_head_answers = 1;
  Result<HeadEntry> entry = session_.Apply(PlanOf(session_, 1));
  CHECK_EQUAL(1U, ValueOf(entry)->version);
  Result<ActiveConfiguration> view = session_.Read();
  CHECK_EQUAL(1U, ValueOf(view)->head.entries.size());
}

TEST(operator, answerLostAndARivalFollowed_isStillRecognised) {
  platform_.lose_head_answers = 1;
  ChangePlan plan = PlanOf(session_, 1);
  // The rival's change lands between the lost answer and the next look.
  int writes = 0;
  platform_.before_head_write = [&] { ++writes; };
  Result<HeadEntry> entry = session_.Apply(plan);
  CHECK_EQUAL(1, writes);
  CHECK(ValueOf(rival_.Apply(PlanOf(rival_, 2))) != nullptr);
  Result<ActiveConfiguration> view = session_.Read();
  CHECK(ValueOf(view)->head.FindChange(ValueOf(entry)->change_id) != nullptr);
  CHECK_EQUAL(2U, ValueOf(view)->head.Newest().version);
}

TEST(operator, rivalWinsJustBeforeTheWrite_conflictIsShown) {
  ChangePlan plan = PlanOf(session_, 1);
  platform_.before_head_write = [&] {
    CHECK(ValueOf(rival_.Apply(PlanOf(rival_, 2))) != nullptr);
  };
  Result<HeadEntry> lost = session_.Apply(plan);
  CHECK(ErrorOf(lost)->kind == ErrorKind::kConflict);
}

TEST(operator, platformOut_isSaidAndNothingIsWritten) {
  ChangePlan plan = PlanOf(session_, 1);
  platform_.out = true;
  CHECK(ErrorOf(session_.Apply(plan))->kind == ErrorKind::kPlatformUnavailable);
  platform_.out = false;
  CHECK_EQUAL(0U, ValueOf(session_.Read())->head.entries.size());
}

TEST(operator, rollback_isANewVersionWithOldContent) {
  session_.Apply(PlanOf(session_, 1));
  session_.Apply(PlanOf(session_, 2));
  Result<ChangePlan> plan = session_.PlanRollback(1);
  Result<HeadEntry> entry = session_.Apply(*ValueOf(plan));
  CHECK_EQUAL(3U, ValueOf(entry)->version);
  Result<ActiveConfiguration> view = session_.Read();
  CHECK(PrintConfiguration(ValueOf(view)->configuration, -1) ==
        PrintConfiguration(SampleConfiguration(1), -1));
  CHECK(ErrorOf(session_.PlanRollback(99)) != nullptr);
}

TEST(operator, manyChanges_historyStaysBounded) {
  for (int i = 0; i < 60; ++i)
    CHECK(ValueOf(session_.Apply(PlanOf(session_, i))) != nullptr);
  Result<ActiveConfiguration> view = session_.Read();
  CHECK_EQUAL(Head::kHistory, ValueOf(view)->head.entries.size());
  CHECK_EQUAL(60U, ValueOf(view)->head.Newest().version);
}

TEST(operator, everyMistake_isFoundWithItsPlace) {
  Configuration bad = SampleConfiguration();
  bad.routes.at("read").service = "nowhere";
  bad.routes.at("pay").rank = "royal";
  bad.routes.at("post").timeout_ms = 0;
  bad.services.at("other").names[0] = "n.shop";
  bad.ranks[0].floor_permille = 900;
  bad.flows.push_back({"shop", "other"});
  // The first service in order keeps the name, the second is told of.
  std::string places = PlacesOf(bad);
  for (const char* place :
       {"routes/read.service;", "routes/pay.rank;", "routes/post.timeout_ms;",
        "services/shop.names.north;", "ranks;", "flows;"}) {
    CHECK(places.find(place) != std::string::npos);
  }
  CHECK(PlacesOf(SampleConfiguration()).empty());
}

TEST(operator, nameInTwoSchemesForDifferentRoutes_isAClash) {
  Configuration bad = SampleConfiguration();
  bad.routes.at("pay").names[1] = "n.shop/read";
  CHECK(PlacesOf(bad).find("routes/") != std::string::npos);
}

TEST(operator, plan_withMistakesIsNeverApplied) {
  Configuration bad = SampleConfiguration();
  bad.routes.at("read").service = "nowhere";
  Result<ChangePlan> plan = session_.Plan(bad, "");
  CHECK(ErrorOf(session_.Apply(*ValueOf(plan)))->kind ==
        ErrorKind::kInvalidConfiguration);
}

TEST(operator, jsonAndPieces_giveTheSameConfigurationBack) {
  Configuration sample = SampleConfiguration(3);
  Result<Configuration> from_json =
      ConfigurationFromJson(ConfigurationToJson(sample));
  CHECK(PrintConfiguration(*ValueOf(from_json), -1) ==
        PrintConfiguration(sample, -1));
  Result<Configuration> from_pieces = JoinPieces(SplitIntoPieces(sample));
  CHECK(PrintConfiguration(*ValueOf(from_pieces), -1) ==
        PrintConfiguration(sample, -1));
}

TEST(operator, print_usesTheSchemeAsked) {
  std::string text = PrintConfiguration(SampleConfiguration(), 2);
  CHECK(text.find("route c.shop/read:") != std::string::npos);
  CHECK(text.find("service c.shop,") != std::string::npos);
}

TEST(operator, randomText_neverBreaksTheReaders) {
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

TEST(operator, tamperedJson_isRefusedOrSound) {
  std::string text = ConfigurationToJson(SampleConfiguration());
  bool holds = rc::check([&] {
    std::string bad = text;
    auto at = *rc::gen::inRange<size_t>(0, text.size());
    bad[at] = *rc::gen::arbitrary<char>();
    Result<Configuration> read = ConfigurationFromJson(bad);
    if (ValueOf(read) != nullptr) ValidateConfiguration(*ValueOf(read));
  });
  CHECK(holds);
}

TEST(operator, settings_everyErrorIsNamedAtOnce) {
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

TEST(operator, settings_flagGoesBeforeVariable) {
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

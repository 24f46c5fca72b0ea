// Staged releases: waves, the test of health, one relay's part, and the coordinator.
#include <gtest/gtest.h>

#include "coordinator.hpp"
#include "fleet_values.hpp"
#include "release_command.hpp"

namespace fennellane::release {
namespace {

using std::chrono::seconds;

template <class E, class Effects>
const E* find(const Effects& effects) {
  for (const auto& e : effects)
    if (const auto* found = std::get_if<E>(&e)) return found;
  return nullptr;
}

State rolling(std::uint32_t wave = 0) {
  State s;
  s.id = "b-1";
  s.from = "a";
  s.to = "b";
  s.phase = Phase::rolling;
  s.steps = {"1", "50%", "100%"};
  s.waves = {{"r0"}, {"r1"}, {"r2", "r3"}};
  s.wave = wave;
  return s;
}

TEST(Release, PlansWavesThatTakeZonesInTurn) {
  std::vector<Report> relays;
  for (int i = 0; i < 10; ++i) {
    Report r;
    r.relay = "r" + std::to_string(i);
    r.zone = i < 6 ? "a" : "b";
    relays.push_back(r);
  }
  const auto waves = plan_waves(relays, {"1", "10%", "40%", "100%"});
  ASSERT_EQ(waves.size(), 3u);  // of ten, 10% is the canary again
  EXPECT_EQ(waves[0], std::vector<std::string>{"r0"});
  EXPECT_EQ(waves[1], (std::vector<std::string>{"r6", "r1", "r7"}));
  EXPECT_EQ(waves[2].size(), 6u);
  EXPECT_EQ(steps_problem({"1", "50%"}), "the last wave has to reach 100%");
  for (const char* bad : {"", "0", "x", "10%%", "101%", "-1", "1 "})
    EXPECT_NE(steps_problem({bad, "100%"}), "") << bad;
}

TEST(Release, WantsTheNewBuildWaveByWave) {
  EXPECT_EQ(wanted_build(rolling(), "r0"), "b");
  EXPECT_EQ(wanted_build(rolling(), "r1"), std::nullopt);
  EXPECT_EQ(wanted_build(rolling(2), "r3"), "b");
  State s = rolling(1);
  s.phase = Phase::halted;
  EXPECT_EQ(wanted_build(s, "r0"), std::nullopt);
  s.phase = Phase::back;
  EXPECT_EQ(wanted_build(s, "r0"), "a");
}

TEST(Release, TellsWorseFromChance) {
  const HealthTest test;
  const Sums good{1000, 10, 1000, 10, 20};
  EXPECT_EQ(worse({1000, 12, 1000, 14, 25}, good, test), "");
  EXPECT_EQ(worse({40, 0, 40, 40, 0}, good, test), "");  // too few to tell
  EXPECT_EQ(worse({100, 0, 100, 20, 0}, good, test),
            "undelivered: 20.0% of 100 where moved, 1.0% of 1000 elsewhere");
  EXPECT_NE(worse({100, 0, 100, 0, 30}, good, test).find("late"), std::string::npos);
  EXPECT_NE(worse({100, 30, 70, 0, 0}, good, test).find("refused"), std::string::npos);
  // Sure, but too little to matter.
  EXPECT_EQ(worse({100000, 0, 100000, 2500, 0}, {100000, 0, 100000, 1000, 0}, test), "");
  EXPECT_EQ(since({100, 5, 90, 4, 3}, {130, 6, 120, 4, 3}), (Sums{30, 1, 30, 0, 0}));
  EXPECT_EQ(since({100, 5, 90, 4, 3}, {20, 1, 18, 0, 0}), (Sums{20, 1, 18, 0, 0}));  // a new life
}

TEST(Release, GoesToTheStoreAndBack) {
  State s = rolling(1);
  s.reason = "\"quoted\"";
  s.base = {1, 2, 3, 4, 5};
  s.auto_back = false;
  EXPECT_EQ(read_state(state_json(s)), s);
  s.to = "../evil";
  EXPECT_EQ(read_state(state_json(s)), std::nullopt);
  for (const char* bad :
       {"", "7", "{}", R"({"id":"x","from":"a","to":"b","phase":"dance","steps":["100%"]})"})
    EXPECT_EQ(read_state(bad), std::nullopt) << bad;
}

TEST(Release, OrdersFitThePhase) {
  ReleaseRequest start;
  start.action = ReleaseRequest::Action::start;
  start.from = "a";
  start.to = "b";
  start.steps = {"100%"};
  const auto trouble_of = [](const std::optional<State>& before, const ReleaseRequest& order) {
    std::string trouble;
    next_state(before, order, "x", trouble);
    return trouble;
  };
  EXPECT_EQ(trouble_of(std::nullopt, start), "");
  EXPECT_EQ(trouble_of(rolling(), start), "release b-1 is under way (rolling)");
  start.to = "a";
  EXPECT_NE(trouble_of(std::nullopt, start), "");
  ReleaseRequest order;
  order.action = ReleaseRequest::Action::resume;
  EXPECT_EQ(trouble_of(rolling(), order), "release b-1 is rolling");
  order.action = ReleaseRequest::Action::back;
  State over = rolling();
  over.phase = Phase::done;
  EXPECT_EQ(trouble_of(over, order), "");  // one that is done can still be taken back
  over.phase = Phase::returned;
  EXPECT_NE(trouble_of(over, order), "");
  order.action = ReleaseRequest::Action::halt;
  EXPECT_EQ(trouble_of(std::nullopt, order), "there has been no release");
}

class MoverTest : public testing::Test {
 protected:
  Mover mover{{"r0", "z", "a", seconds(5)}};
};

TEST_F(MoverTest, MovesWithASlotAndReports) {
  const auto effects = mover.handle(seconds(0), StateSeen{rolling(), 1});
  EXPECT_NE(find<AskSlot>(effects), nullptr);
  EXPECT_NE(find<SetReportTimer>(effects), nullptr);
  const auto report = mover.handle(seconds(1), ReportTimerExpired{{1, 2, 3, 4, 5}, "1 of 1 are out"});
  ASSERT_NE(find<WriteReport>(report), nullptr);
  EXPECT_EQ(find<WriteReport>(report)->report.build, "a");
  EXPECT_EQ(find<WriteReport>(report)->report.waits, "1 of 1 are out");
  const auto granted = mover.handle(seconds(2), SlotGranted{});
  ASSERT_NE(find<Move>(granted), nullptr);
  EXPECT_EQ(find<Move>(granted)->build, "b");
}

TEST_F(MoverTest, AHaltFindsItStillInTheQueue) {
  mover.handle(seconds(0), StateSeen{rolling(), 1});
  State halted = rolling();
  halted.phase = Phase::halted;
  EXPECT_NE(find<LeaveSlot>(mover.handle(seconds(1), StateSeen{halted, 2})), nullptr);
  // A slot that was granted in that moment is not used.
  EXPECT_EQ(find<Move>(mover.handle(seconds(1), SlotGranted{})), nullptr);
}

TEST_F(MoverTest, ABuildThatFailedIsTriedAgainOnlyWhenAnOperatorSaysSo) {
  mover.handle(seconds(0), StateSeen{rolling(), 1});
  mover.handle(seconds(1), SlotGranted{});
  const auto failed = mover.handle(seconds(2), MoveFailed{"it crashed"});
  EXPECT_NE(find<LeaveSlot>(failed), nullptr);
  EXPECT_EQ(find<AskSlot>(failed), nullptr);
  EXPECT_EQ(find<AskSlot>(mover.handle(seconds(3), StateSeen{rolling(1), 2})), nullptr);
  const auto report = mover.handle(seconds(3), ReportTimerExpired{});
  EXPECT_EQ(find<WriteReport>(report)->report.trouble, "it crashed");
  State halted = rolling();
  halted.phase = Phase::halted;
  mover.handle(seconds(4), StateSeen{halted, 3});
  EXPECT_NE(find<AskSlot>(mover.handle(seconds(5), StateSeen{rolling(), 4})), nullptr);
}

TEST_F(MoverTest, IsSilentWhereThereIsNoRelease) {
  EXPECT_TRUE(mover.handle(seconds(0), StateSeen{std::nullopt, 1}).empty());
  EXPECT_TRUE(mover.handle(seconds(1), ReportTimerExpired{}).empty());
}

// A coordinator of four relays whose reports are given by hand. Every look brings the next beat of each.
class CoordinatorTest : public testing::Test {
 protected:
  static CoordinatorSettings settings() {
    CoordinatorSettings s;
    s.gather = seconds(10);
    s.watch = seconds(20);
    s.max_watch = seconds(60);
    s.move = seconds(100);
    return s;
  }
  CoordinatorTest() {
    for (int i = 0; i < 4; ++i) {
      const std::string name = "r" + std::to_string(i);
      reports[name] = {name, i % 2 == 0 ? "x" : "y", "b-1", "a", 0, "", "", {}};
    }
  }
  void begin(State s) {
    state = std::move(s);
    coordinator.activate(now, 4, "role");
    coordinator.handle(now, StateSeen{state, ++index});
  }
  // Five seconds go by, in which each relay ends a hundred messages.
  std::vector<CoordinatorEffect> look() {
    now += seconds(5);
    std::vector<Report> all;
    for (auto& [name, r] : reports) {
      ++r.heartbeat;
      r.sums += {100, 0, 100, r.build == "b" ? bad_of_new : 0u, 0};
      all.push_back(r);
    }
    coordinator.handle(now, CheckTimerExpired{});
    return coordinator.handle(now, ReportsRead{true, all});
  }
  // Looks until it writes, and takes what it writes.
  bool writes(int looks = 40) {
    for (int i = 0; i < looks; ++i) {
      const auto effects = look();
      const auto* write = find<WriteState>(effects);
      if (write == nullptr) continue;
      EXPECT_EQ(write->index, index);
      EXPECT_EQ(write->token, 4u);
      state = write->state;
      coordinator.handle(now, StateWritten{StateWritten::Result::accepted});
      coordinator.handle(now, StateSeen{state, ++index});
      return true;
    }
    return false;
  }
  // As the relays do it.
  void move_all() {
    for (auto& [name, r] : reports)
      if (const auto wanted = wanted_build(state, name)) r.build = *wanted;
  }

  Coordinator coordinator{settings()};
  std::map<std::string, Report> reports;
  State state;
  std::uint64_t index = 10;
  Time now = seconds(1000);
  unsigned bad_of_new = 0;
};

TEST_F(CoordinatorTest, TakesABuildThroughTheFleetInWaves) {
  State s = rolling();
  s.phase = Phase::gathering;
  s.waves.clear();
  begin(s);
  ASSERT_TRUE(writes());
  EXPECT_EQ(state.phase, Phase::rolling);
  ASSERT_EQ(state.waves.size(), 3u);
  std::vector<std::size_t> moved;
  for (int i = 0; i < 6 && state.phase != Phase::done; ++i) {
    move_all();
    moved.push_back(static_cast<std::size_t>(
        std::count_if(reports.begin(), reports.end(), [](const auto& r) { return r.second.build == "b"; })));
    ASSERT_TRUE(writes());
  }
  EXPECT_EQ(state.phase, Phase::done) << state.reason;
  EXPECT_EQ(moved, (std::vector<std::size_t>{1, 2, 4}));
}

TEST_F(CoordinatorTest, TurnsBackWhereTheCanaryIsWorse) {
  begin(rolling());
  bad_of_new = 30;
  move_all();
  ASSERT_TRUE(writes(4));  // before its watch is over
  EXPECT_EQ(state.phase, Phase::back);
  EXPECT_NE(state.reason.find("undelivered"), std::string::npos);
  move_all();
  ASSERT_TRUE(writes());
  EXPECT_EQ(state.phase, Phase::returned);
}

TEST_F(CoordinatorTest, TheLastWaveIsHeldAgainstHowTheRestDidBefore) {
  State s = rolling(2);
  s.base = {1000, 0, 1000, 1, 0};
  begin(s);
  bad_of_new = 30;
  move_all();
  ASSERT_TRUE(writes());
  EXPECT_EQ(state.phase, Phase::back);
}

TEST_F(CoordinatorTest, HaltsWhereARelayDoesNotMoveAndTurnsBackWhereItCannot) {
  State s = rolling();
  s.auto_back = false;
  begin(s);
  ASSERT_TRUE(writes());
  EXPECT_EQ(state.phase, Phase::halted);
  EXPECT_EQ(state.reason, "r0 has not moved in time");
  begin(rolling());
  reports["r0"].trouble = "the new program ended";
  ASSERT_TRUE(writes(2));
  EXPECT_EQ(state.phase, Phase::back);
}

TEST_F(CoordinatorTest, OneThatMovedAndIsSilentTurnsItBack) {
  begin(rolling());
  move_all();
  look();
  const Report silent = reports["r0"];
  for (int i = 0; i < 5; ++i) {
    reports["r0"] = silent;
    --reports["r0"].heartbeat;
    if (writes(1)) break;
  }
  EXPECT_EQ(state.phase, Phase::back);
  EXPECT_EQ(state.reason, "r0 has moved and reports no more");
}

TEST_F(CoordinatorTest, WaitsLongerWhereThereIsTooLittleTrafficToTell) {
  begin(rolling());
  move_all();
  for (auto& [name, r] : reports) r.release = "b-1";
  int looks = 0;
  for (; looks < 40; ++looks) {
    now += seconds(5);
    std::vector<Report> all;
    for (auto& [name, r] : reports) {
      ++r.heartbeat;
      all.push_back(r);
    }
    coordinator.handle(now, CheckTimerExpired{});
    if (find<WriteState>(coordinator.handle(now, ReportsRead{true, all})) != nullptr) break;
  }
  EXPECT_EQ(looks, 12);  // 60 s after the first
}

TEST_F(CoordinatorTest, WritesNothingOnceTheRoleIsLostOrAnOperatorHasHalted) {
  begin(rolling());
  move_all();
  look();
  State halted = state;
  halted.phase = Phase::halted;
  coordinator.handle(now, StateSeen{halted, ++index});
  EXPECT_TRUE(coordinator.handle(now + seconds(5), CheckTimerExpired{}).empty());
  begin(rolling());
  coordinator.deactivate();
  EXPECT_TRUE(coordinator.handle(now + seconds(5), CheckTimerExpired{}).empty());
  EXPECT_TRUE(coordinator.handle(now + seconds(5), ReportsRead{true, {}}).empty());
}

TEST_F(CoordinatorTest, AnotherTakesUpFromTheStateInTheStore) {
  begin(rolling(1));
  move_all();
  look();
  Coordinator second(settings());
  coordinator = second;
  begin(state);
  ASSERT_TRUE(writes());
  EXPECT_EQ(state.wave, 2u);
}

}  // namespace
}  // namespace fennellane::release

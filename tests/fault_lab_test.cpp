// A few runs of the fault laboratory, from fixed seeds; fennellane_rehearse_faults plays many.
#include "fault_lab.hpp"

#include <gtest/gtest.h>

namespace fennellane::harness {
namespace {

class FaultRuns : public testing::TestWithParam<std::uint64_t> {};

TEST_P(FaultRuns, LoseNothingAndSendNothingTwice) {
  const FaultPlan plan = draw_plan(GetParam());
  const FaultReport report = run_faults(FENNELLANE_PROGRAM, FENNELLANE_FAULT_SHIM, plan);
  EXPECT_TRUE(report.violations.empty()) << plan_text(plan) << "\n" << report.log;
  for (const std::string& violation : report.violations) ADD_FAILURE() << violation;
  EXPECT_GT(report.delivered, 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, FaultRuns, testing::Range<std::uint64_t>(1, 9));

// Guards against messages that vanish as another client uses their ids, also where the relay ends in between.
class ContestedFaultRuns : public testing::TestWithParam<std::uint64_t> {};
TEST_P(ContestedFaultRuns, LoseNothingAndSendNothingTwice) {
  FaultPlan plan = draw_plan(GetParam());
  plan.contested_in_100 = 30;
  const FaultReport report = run_faults(FENNELLANE_PROGRAM, FENNELLANE_FAULT_SHIM, plan);
  EXPECT_TRUE(report.violations.empty()) << plan_text(plan) << "\n" << report.log;
  for (const std::string& violation : report.violations) ADD_FAILURE() << violation;
  EXPECT_GT(report.delivered, 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, ContestedFaultRuns, testing::Range<std::uint64_t>(1, 4));

// Guards against a checker that finds everything right: a partner's answers are lost on their way, and the
// class's messages go out a second time.
TEST(FaultLab, FindsWhatRunsTwiceAndWhatHasNoEnd) {
  FaultPlan plan;
  plan.relays[0].end = LifeEnd::kill;
  plan.plants_flaws = true;
  const FaultReport report = run_faults(FENNELLANE_PROGRAM, FENNELLANE_FAULT_SHIM, plan);
  const auto count = [&](const std::string& what) {
    return std::count_if(report.violations.begin(), report.violations.end(),
                         [&](const std::string& v) { return v.find(what) != std::string::npos; });
  };
  const auto found = [&](const std::string& what) { return count(what) > 0; };
  EXPECT_TRUE(found("ran 2 times"));
  // One that was never sent, one that came back in another form, and one under the id of a delivered message.
  EXPECT_EQ(count("has no end"), 3);
  EXPECT_TRUE(found("as no client had sent it"));
  EXPECT_TRUE(found("was refused and reached a partner"));
}

}  // namespace
}  // namespace fennellane::harness

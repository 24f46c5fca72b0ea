// A few runs of the discovery laboratory, from fixed seeds; fennellane_rehearse_discovery plays many.
#include "discovery_lab.hpp"

#include <gtest/gtest.h>

namespace fennellane::harness {
namespace {

class DiscoveryRuns : public testing::TestWithParam<std::uint64_t> {};

TEST_P(DiscoveryRuns, SendNothingToADrainedHostAndLoseNothing) {
  const DiscoveryReport report = run_discovery_faults(FENNELLANE_PROGRAM, GetParam());
  EXPECT_TRUE(report.violations.empty()) << report.course << "\n" << report.log;
  for (const std::string& violation : report.violations) ADD_FAILURE() << violation;
  EXPECT_GT(report.delivered, 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, DiscoveryRuns, testing::Range<std::uint64_t>(1, 7));

}  // namespace
}  // namespace fennellane::harness

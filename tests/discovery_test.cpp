// How soon a relay hears of a change of the host list, over loopback sockets. docs/discovery.md has the
// budget.
#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "discovery_agent.hpp"
#include "load.hpp"
#include "partner.hpp"
#include "relay_fixture.hpp"

namespace fennellane::test {
namespace {

using standin::DiscoveryAgent;
using standin::DiscoveryFault;
using standin::Load;
using standin::Partner;
using Clock = std::chrono::steady_clock;

// From the pages: a call's first byte may come so long after the relay counts as told, ...
constexpr milliseconds kDrainGrace{1050};
// ... which it does so long after discovery had a change and could be reached, whether it arrived or not.
constexpr milliseconds kToldAtTheLatest{6000};

// A relay under load with two hosts of one destination, one of which is to drain.
class DrainedHost : public testing::Test {
 protected:
  DrainedHost() {
    parts_.known = hosts();
    parts_.max_open = 500;
    parts_.discovery_mode = "push";
  }

  std::vector<HostLine> hosts() const {
    return {{"s-leaving", leaving_.address(), 0, "ready", kRate},
            {"s-staying", staying_.address(), 0, "ready", kRate}};
  }
  HostLine drained() const { return {"s-leaving", leaving_.address(), 0, "draining", kRate}; }

  void start(const std::string& discovery) {
    relay_ = std::make_unique<RelayProgram>(discovery, parts_);
    relay_->start();
    Load::Shape shape;
    shape.rate = 100;
    shape.connections = 4;
    shape.body = 100;
    load_ = std::make_unique<Load>(Address{"127.0.0.1", relay_->port()}, shape);
    ASSERT_TRUE(happens([&] { return !leaving_.calls().empty() && !staying_.calls().empty(); }))
        << relay_->log();
  }

  // The last call at the draining host, counted from `told`, once the load has gone on for `span` after it.
  milliseconds last_call_after(Clock::time_point told, milliseconds span) {
    std::this_thread::sleep_until(told + span);
    load_->stop();
    const auto calls = leaving_.calls();
    const auto last = std::max_element(
        calls.begin(), calls.end(), [](const auto& a, const auto& b) { return a.first_byte < b.first_byte; });
    return std::chrono::duration_cast<milliseconds>(last->first_byte - told);
  }

  // Returns once the relay has given up so many requests and, where it pauses between them, pauses.
  void await_pause(const DiscoveryAgent& discovery, std::size_t requests) const {
    const std::size_t before = discovery.requests();
    EXPECT_TRUE(happens([&] { return discovery.requests() >= before + requests; })) << relay_->log();
    const auto limit = Clock::now() + seconds(2);
    while (discovery.pending() > 0 && Clock::now() < limit) std::this_thread::sleep_for(milliseconds(1));
  }

  static constexpr double kRate = 2000;
  Partner leaving_{milliseconds(5)}, staying_{milliseconds(5)};
  ConfigParts parts_;
  std::unique_ptr<RelayProgram> relay_;
  std::unique_ptr<Load> load_;
};

std::string fault_name(const testing::TestParamInfo<DiscoveryFault>& info) {
  switch (info.param) {
    case DiscoveryFault::none:
      return "None";
    case DiscoveryFault::silent:
      return "Silent";
    case DiscoveryFault::forgetful:
      return "Forgetful";
    case DiscoveryFault::resetting:
      return "Resetting";
    case DiscoveryFault::head_only:
      return "HeadOnly";
    case DiscoveryFault::half_line:
      return "HalfLine";
    case DiscoveryFault::older_version:
      return "OlderVersion";
  }
  return "";
}

class ReturnOfDiscovery : public DrainedHost, public testing::WithParamInterface<DiscoveryFault> {};

// Guards against calls at a draining host after an outage of discovery (incident c2eb73): the return was
// heard only when a pause between two attempts was over.
TEST_P(ReturnOfDiscovery, IsHeardWithinTheGraceOfADrainThatItTells) {
  DiscoveryAgent discovery(hosts());
  start(discovery.address());
  ASSERT_TRUE(happens([&] { return discovery.watches() == 1; })) << relay_->log();
  discovery.begin_fault(GetParam());
  await_pause(discovery, 4);
  discovery.change({drained()});
  const auto told = Clock::now();
  discovery.end_fault();
  EXPECT_LE(last_call_after(told, seconds(4)), kDrainGrace) << relay_->log();
}
INSTANTIATE_TEST_SUITE_P(Faults, ReturnOfDiscovery,
                         testing::Values(DiscoveryFault::silent, DiscoveryFault::forgetful,
                                         DiscoveryFault::resetting),
                         fault_name);

class SlowDiscovery : public DrainedHost, public testing::WithParamInterface<int> {};

// Guards against changes that are never heard: an answer that was merely slow was given up, and asked for
// again.
TEST_P(SlowDiscovery, IsHeardInTime) {
  DiscoveryAgent first(hosts()), slow(hosts());
  start(first.address());
  slow.set_delay(milliseconds(GetParam()));
  relay_->move_discovery(slow.address());
  std::this_thread::sleep_for(seconds(4));
  const auto changed = Clock::now();
  slow.change({drained()});
  EXPECT_LE(last_call_after(changed, seconds(9)), kToldAtTheLatest + kDrainGrace) << relay_->log();
}
INSTANTIATE_TEST_SUITE_P(Milliseconds, SlowDiscovery, testing::Values(400, 1700, 2500));

class UnusableAnswers : public DrainedHost, public testing::WithParamInterface<DiscoveryFault> {};

// The list that serves stays while discovery's answers cannot be used, and a change after them is heard.
TEST_P(UnusableAnswers, LeaveTheListAndDelayNoChange) {
  DiscoveryAgent first(hosts()), faulty(hosts());
  start(first.address());
  faulty.begin_fault(GetParam());
  relay_->move_discovery(faulty.address());
  std::this_thread::sleep_for(seconds(3));
  faulty.change({drained()});
  const auto returned = Clock::now();
  faulty.end_fault();
  EXPECT_LE(last_call_after(returned, seconds(8)), kToldAtTheLatest + kDrainGrace) << relay_->log();
  EXPECT_FALSE(staying_.calls().empty());
  EXPECT_GT(relay_->counter("delivered"), 0u);
}
INSTANTIATE_TEST_SUITE_P(Faults, UnusableAnswers,
                         testing::Values(DiscoveryFault::head_only, DiscoveryFault::half_line,
                                         DiscoveryFault::older_version),
                         fault_name);

}  // namespace
}  // namespace fennellane::test

// Drains and releases with several relays as processes, a Consul, a partner, and faults between them.
#include <gtest/gtest.h>
#include <signal.h>

#include "command.hpp"
#include "fleet_values.hpp"
#include "release_lab.hpp"

namespace fennellane {
namespace {

using namespace harness;
using standin::happens;
using std::chrono::seconds;

// Times that no lapse comes into on any machine, and a stop fits into an outing.
LabSettings calm(std::size_t relays, std::size_t most) {
  LabSettings settings;
  settings.program = FENNELLANE_PROGRAM;
  settings.relays = relays;
  settings.timing = {.ttl = 6000, .renew = 500, .margin = 500, .lock_delay = 3000, .call = 3000};
  settings.most = most;
  settings.drain =
      "(drain (zone \"@zone\") (most " + std::to_string(most) +
      ") (ttl-ms 40000) (renew-ms 1000) (margin-ms 500) (out-ms 20000) (call-ms 3000) (retry-ms 50)) ";
  settings.more = "(upgrade (start-ms 60000) (state-ms 60000) (taken-ms 60000))\n";
  return settings;
}

std::size_t gone_out(FleetLab& lab) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < lab.size(); ++i) n += lab.relay(i).logged("drain: goes out");
  return n;
}

TEST(Drains, StopsWaitTheirTurnAndAreMadeUpFor) {
  FleetLab lab(calm(3, 1));
  lab.start();
  for (std::size_t i = 0; i < 3; ++i) lab.ask_outing(i);
  ASSERT_TRUE(happens([&] {
    return lab.relay(0).logged("no slot, and serves on: 1 of 1 are out") +
               lab.relay(1).logged("no slot, and serves on: 1 of 1 are out") +
               lab.relay(2).logged("no slot, and serves on: 1 of 1 are out") >=
           2;
  }));
  // Those that wait serve on.
  std::size_t taken = 0;
  for (std::size_t i = 0; i < 3; ++i)
    if (lab.relay(i).logged("no slot") > 0) taken += lab.offer_to(i) ? 1 : 0;
  EXPECT_EQ(taken, 2u);
  ASSERT_TRUE(happens(
      [&] {
        lab.bring_back();
        return lab.outages() == 3;
      },
      seconds(90)));
  ASSERT_TRUE(happens([&] { return lab.history().held == 0; }));
  const History h = lab.history();
  EXPECT_EQ(breach(h), "");
  EXPECT_EQ(most_out(h).outages, 1u);
  // A relay says so once it has Consul's answer, which comes after the slot is free there.
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(happens([&] { return lab.relay(i).logged("slot given back") > 0; })) << lab.relay(i).log();
    EXPECT_EQ(lab.relay(i).logged("slot given back"), 1u) << lab.relay(i).log();
  }
}

TEST(Drains, WithoutConsulTheRelayServesOnAndASecondSigtermIsObeyed) {
  FleetLab lab(calm(2, 1));
  lab.start();
  lab.to_consul(0).set(PathFault::refuse);
  lab.relay(0).signal(SIGTERM);
  ASSERT_TRUE(
      happens([&] { return lab.relay(0).logged("no slot, and serves on: Consul is not heard") > 0; }));
  EXPECT_TRUE(lab.offer_to(0));
  EXPECT_EQ(lab.relay(0).end(SIGTERM), 0);
}

TEST(Drains, AnUpgradeWaitsForASlotAndSaysSo) {
  FleetLab lab(calm(2, 1));
  lab.start();
  ASSERT_TRUE(lab.waits_for_holder_other_than(lab.size()));
  lab.ask_outing(0);
  ASSERT_TRUE(happens([&] { return gone_out(lab) == 1; }));
  EXPECT_EQ(upgrade::request_upgrade(lab.relay(1).state_folder(), seconds(1)), 1);
  const std::string waits = "no slot, and serves on: 1 of 1 are out: r0";
  EXPECT_TRUE(happens([&] { return lab.relay(1).logged(waits) > 0; })) << lab.relay(1).log();
  EXPECT_EQ(lab.relay(1).logged(waits), 1u);
  ASSERT_TRUE(happens([&] {
    lab.bring_back();
    return lab.relay(1).logged("has taken over") == 1;
  }));
  EXPECT_TRUE(happens([&] { return lab.relay(1).logged("slot given back") == 1; })) << lab.relay(1).log();
  EXPECT_EQ(breach(lab.history()), "");
}

// A registration that is critical stands for a relay that is out without a plan.
TEST(Drains, ARelayThatIsDownWithoutAPlanUsesUpTheBudget) {
  LabSettings settings = calm(2, 1);
  settings.drain.insert(settings.drain.find("(ttl-ms"), "(service \"relays-up\") ");
  FleetLab lab(settings);
  standin::CatalogueHost host;
  host.id = "relays-up-r7";
  host.status = "critical";
  lab.consul().put("relays-up", host);
  lab.start();
  lab.ask_outing(0);
  ASSERT_TRUE(happens([&] { return lab.relay(0).logged("no slot, and serves on: 1 of 1 are out: r7") == 1; }))
      << lab.relay(0).log();
  lab.consul().set_status("relays-up", "relays-up-r7", "passing");
  EXPECT_TRUE(happens([&] { return gone_out(lab) == 1; })) << lab.relay(0).log();
}

// Its slot is free once its session has lapsed, and no sooner.
TEST(Drains, ARelayKilledWithASlotFreesItByItsTtl) {
  LabSettings settings = calm(2, 1);
  settings.drain =
      "(drain (most 1) (ttl-ms 3000) (renew-ms 300) (margin-ms 100) (out-ms 1500) (call-ms 1000) "
      "(retry-ms 50)) ";
  settings.timing.call = 1000;
  FleetLab lab(settings);
  lab.start();
  lab.ask_outing(0);
  ASSERT_TRUE(happens([&] { return gone_out(lab) == 1; }));
  const auto killed = std::chrono::steady_clock::now();
  lab.relay(0).end(SIGKILL);
  lab.ask_outing(1);
  ASSERT_TRUE(happens([&] { return gone_out(lab) == 2; })) << lab.relay(1).log();
  EXPECT_GT(std::chrono::steady_clock::now() - killed, milliseconds(1500));
  EXPECT_EQ(breach(lab.history()), "");
}

TEST(DrainSchedules, KeepTheBudgetUnderFaultsThatAreDrawn) {
  for (const std::uint64_t seed : {21u, 22u}) {
    LabSettings settings;
    settings.program = FENNELLANE_PROGRAM;
    settings.relays = 4;
    settings.seed = seed;
    const milliseconds ttl = add_budget(settings, 1, 0, false);
    FleetLab lab(settings);
    const History h = lab.run(draw_outings(seed, 14, 4, ttl, false));
    EXPECT_EQ(breach(h), "") << seed;
    EXPECT_TRUE(lab.recovered()) << seed;
    EXPECT_GT(most_out(h).slots, 0u);
  }
}

TEST(DrainSchedules, TheCheckerFindsAStoreThatTakesAnyValue) {
  LabSettings settings = calm(5, 1);
  settings.cas = false;
  std::string found;
  for (int tries = 0; tries < 10 && found.empty(); ++tries) {
    FleetLab lab(settings);
    lab.start();
    // What each has read is old by the time that it asks.
    for (std::size_t i = 0; i < 5; ++i) lab.to_consul(i).set(PathFault::delay, milliseconds(150));
    for (std::size_t i = 0; i < 5; ++i) lab.ask_outing(i);
    happens([&] { return gone_out(lab) == 5; }, seconds(5));
    found = breach(lab.history());
  }
  EXPECT_NE(found.find("slots are held of 1"), std::string::npos) << found;
}

// --- Releases
class Releases : public testing::Test {
 protected:
  void begin(std::size_t relays, std::size_t most, int watch_ms = 600) {
    LabSettings settings = calm(relays, most);
    settings.timing = {
        .ttl = 3000, .renew = 300, .margin = 200, .lock_delay = 1000, .call = 1000, .retry = 50};
    ReleaseTiming timing;
    timing.watch = watch_ms;
    release = std::make_unique<ReleaseLab>(builds, settings, timing);
    ASSERT_TRUE(release->start());
  }
  release::State state() { return release->state(); }
  FleetLab& lab() { return release->lab(); }
  void expect_kept(const std::string& build) {
    EXPECT_TRUE(happens([&] { return release->serving(build) == lab().size(); }));
    ASSERT_TRUE(happens([&] { return lab().history().held == 0; }));
    EXPECT_EQ(breach(lab().history()), "");
  }

  Builds builds{FENNELLANE_PROGRAM};
  std::unique_ptr<ReleaseLab> release;
};

TEST_F(Releases, TwelveRelaysMoveInWavesWithinTheBudget) {
  begin(12, 2);
  ASSERT_EQ(release->order(ReleaseRequest::Action::start, "b"), "");
  EXPECT_NE(release->order(ReleaseRequest::Action::start, "sick").find("is under way"), std::string::npos);
  ASSERT_TRUE(release->comes_to(release::Phase::done)) << state_json(state());
  EXPECT_EQ(state().waves.size(), 3u);
  expect_kept("b");
}

TEST_F(Releases, ABuildThatServesWorseIsTakenBackWithinItsFirstWave) {
  begin(12, 2);
  ASSERT_EQ(release->order(ReleaseRequest::Action::start, "sick"), "");
  ASSERT_TRUE(release->comes_to(release::Phase::returned)) << state_json(state());
  EXPECT_EQ(state().wave, 0u);
  EXPECT_NE(state().reason.find("undelivered"), std::string::npos) << state().reason;
  std::size_t moved = 0;
  for (std::size_t i = 0; i < 12; ++i) moved += lab().relay(i).logged("is started: " + builds.path("sick"));
  EXPECT_EQ(moved, 1u);
  EXPECT_EQ(release->serving("a"), 12u);
}

TEST_F(Releases, ABuildThatDoesNotStartIsNotTriedOnAnotherRelay) {
  begin(4, 2);
  ASSERT_EQ(release->order(ReleaseRequest::Action::start, "broken"), "");
  ASSERT_TRUE(release->comes_to(release::Phase::returned)) << state_json(state());
  EXPECT_NE(state().reason.find("could not move"), std::string::npos) << state().reason;
  expect_kept("a");
}

TEST_F(Releases, AnOperatorsHaltHoldsAndBackReturnsTheMoved) {
  begin(4, 1, 3000);
  ASSERT_EQ(release->order(ReleaseRequest::Action::start, "b"), "");
  ASSERT_TRUE(happens([&] { return release->serving("b") == 1; }));
  ASSERT_EQ(release->order(ReleaseRequest::Action::halt), "");
  std::this_thread::sleep_for(milliseconds(4000));  // past what the wave is watched
  EXPECT_EQ(release->serving("b"), 1u);
  EXPECT_EQ(state().phase, release::Phase::halted);
  ASSERT_EQ(release->order(ReleaseRequest::Action::back), "");
  ASSERT_TRUE(release->comes_to(release::Phase::returned)) << state_json(state());
  expect_kept("a");
}

// Another takes up from the state in the store, and the one that wakes moves nothing.
TEST_F(Releases, ACoordinatorThatIsPausedIsFollowed) {
  begin(4, 2);
  ASSERT_EQ(release->order(ReleaseRequest::Action::start, "b"), "");
  ASSERT_TRUE(happens([&] { return state().phase == release::Phase::rolling; }));
  const std::size_t paused = lab().holder();
  ASSERT_LT(paused, lab().size());
  const pid_t pid = lab().relay(paused).serving();
  ::kill(pid, SIGSTOP);
  EXPECT_TRUE(lab().waits_for_holder_other_than(paused));
  ::kill(pid, SIGCONT);
  ASSERT_TRUE(release->comes_to(release::Phase::done)) << state_json(state());
  expect_kept("b");
}

TEST_F(Releases, ACoordinatorThatIsKilledIsFollowedAndComesBackWithTheNewBuild) {
  begin(4, 2);
  ASSERT_EQ(release->order(ReleaseRequest::Action::start, "b"), "");
  ASSERT_TRUE(happens([&] { return state().phase == release::Phase::rolling; }));
  const std::size_t killed = lab().holder();
  ASSERT_LT(killed, lab().size());
  lab().relay(killed).end(SIGKILL);
  EXPECT_TRUE(lab().waits_for_holder_other_than(killed));
  lab().relay(killed).start();  // with the build of its command line: it moves again
  ASSERT_TRUE(release->comes_to(release::Phase::done)) << state_json(state());
  EXPECT_TRUE(happens([&] { return release->serving("b") == 4; }));
  EXPECT_TRUE(happens([&] { return lab().history().held == 0; }));
  EXPECT_EQ(breach(lab().history()), "");
}

}  // namespace
}  // namespace fennellane

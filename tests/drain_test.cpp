// The disruption budget: what may go out, one relay's slot, and its model.
#include <gtest/gtest.h>

#include "budget_model.hpp"
#include "fleet_values.hpp"
#include "slot.hpp"

namespace fennellane::drain {
namespace {

using std::chrono::seconds;

template <class E>
const E* find(const std::vector<Effect>& effects) {
  for (const Effect& e : effects)
    if (const auto* found = std::get_if<E>(&e)) return found;
  return nullptr;
}

TEST(Budget, BoundsThoseOutInAllInAZoneAndByShare) {
  Budget b{{2, 0, 0}, {{"s1", "r1", "a"}}};
  EXPECT_EQ(refusal(b, {}, "r9", "a"), "");
  b.holders.push_back({"s2", "r2", "b"});
  EXPECT_EQ(refusal(b, {}, "r9", "a"), "2 of 2 are out: r1 r2");
  EXPECT_EQ(refusal(b, {}, "r2", "b"), "");  // its own earlier slot does not count against it
  b.cap = {5, 1, 0};
  EXPECT_EQ(refusal(b, {}, "r9", "a"), "1 of 1 are out in zone a: r1");
  EXPECT_EQ(refusal(b, {}, "r9", "c"), "");
  b.cap = {0, 0, 10};
  EXPECT_EQ(refusal(b, {30, {}}, "r9", "c"), "");
  EXPECT_EQ(refusal(b, {29, {}}, "r9", "c"), "2 of 2 are out by the share: r1 r2");
  EXPECT_EQ(refusal({{0, 0, 10}, {}}, {3, {}}, "r9", "c"), "");  // at least one
}

TEST(Budget, CountsThoseThatAreDownWithoutAPlanOnce) {
  const Budget b{{2, 0, 0}, {{"s1", "r1", "a"}}};
  EXPECT_EQ(refusal(b, {9, {{"r1", "a"}}}, "r9", "a"), "");
  EXPECT_EQ(refusal(b, {9, {{"r1", "a"}, {"r3", "b"}}}, "r9", "a"), "2 of 2 are out: r1 r3");
  EXPECT_EQ(refusal(b, {9, {{"r9", "a"}}}, "r9", "a"), "");  // the one that asks
}

TEST(Budget, GoesToTheStoreAndBack) {
  const Budget b{{3, 1, 10}, {{"s1", "r1", "a"}, {"s2", "r2", ""}}};
  EXPECT_EQ(read_budget(budget_json(b)), b);
  for (const char* bad : {"", "[]", "{}", R"({"Limit":{"most":-1},"Holders":{}})", R"({"Limit":3})"})
    EXPECT_EQ(read_budget(bad), std::nullopt) << bad;
}

// A slot of r1 in zone a; the answers are given by hand.
class SlotTest : public testing::Test {
 protected:
  SlotTest() : slot(settings()) {}
  static SlotSettings settings() {
    SlotSettings s;
    s.relay = "r1";
    s.zone = "a";
    s.cap = {1, 0, 0};
    return s;
  }
  // Asked for, with a session made at 0.
  void contend(Purpose purpose = Purpose::upgrade) {
    EXPECT_NE(find<CreateSession>(slot.handle(seconds(0), Ask{purpose})), nullptr);
    const auto* watch = find<WatchBudget>(last = slot.handle(seconds(0), SessionCreated{"s1", seconds(0)}));
    ASSERT_NE(watch, nullptr);
    EXPECT_TRUE(watch->on);
  }
  std::vector<Effect> sees(Time now, std::optional<Budget> budget, std::uint64_t index,
                           std::vector<Contender> contenders = {{"s1", 5}}) {
    return last = slot.handle(now, BudgetSeen{std::move(budget), index, std::move(contenders)});
  }

  Slot slot;
  std::vector<Effect> last;
};

TEST_F(SlotTest, TakesAFreeSlotGoesOutAndGivesItBack) {
  contend();
  const auto* take = find<AcquireSlot>(last = sees(seconds(1), std::nullopt, 0));
  ASSERT_NE(take, nullptr);
  EXPECT_EQ(take->index, 0u);
  EXPECT_EQ(take->next, (Budget{{1, 0, 0}, {{"s1", "r1", "a"}}}));
  const auto effects = slot.handle(seconds(1), SlotAnswer{true});
  ASSERT_NE(find<GoOffline>(effects), nullptr);
  EXPECT_EQ(find<GoOffline>(effects)->session, "s1");
  EXPECT_EQ(slot.step(), Slot::Step::offline);
  EXPECT_NE(find<Renew>(slot.handle(seconds(16), TimerExpired{})), nullptr);
  slot.handle(seconds(16), RenewAnswer{true, seconds(16)});
  const auto back = slot.handle(seconds(17), OutageEnded{});
  ASSERT_NE(find<DestroySession>(back), nullptr);
  slot.handle(seconds(17), SessionDestroyed{});
  EXPECT_EQ(slot.step(), Slot::Step::off);
}

TEST_F(SlotTest, ServesOnWithoutASlotUntilTheBudgetChanges) {
  contend();
  const Budget full{{1, 0, 0}, {{"s9", "r9", "b"}}};
  EXPECT_EQ(find<AcquireSlot>(sees(seconds(1), full, 7, {{"s1", 5}, {"s9", 2}})), nullptr);
  EXPECT_EQ(slot.waits_for(), "1 of 1 are out: r9");
  EXPECT_EQ(find<AcquireSlot>(slot.handle(seconds(2), TimerExpired{})), nullptr);
  // The holder's session is over: its key is gone, though its name still stands in the list.
  const auto* take = find<AcquireSlot>(last = sees(seconds(3), full, 7));
  ASSERT_NE(take, nullptr);
  EXPECT_EQ(take->index, 7u);
  EXPECT_EQ(take->next.holders.size(), 1u);
}

TEST_F(SlotTest, RenewsFirstWhereItsSessionDoesNotLastForAnOutage) {
  contend();
  ASSERT_NE(find<AcquireSlot>(sees(seconds(14), std::nullopt, 0)), nullptr);
  // 60 s less 5 s of margin, 20 s of outage: too late after 35 s.
  const auto effects = slot.handle(seconds(36), SlotAnswer{true});
  EXPECT_EQ(find<GoOffline>(effects), nullptr);
  ASSERT_NE(find<Renew>(effects), nullptr);
  EXPECT_NE(find<GoOffline>(slot.handle(seconds(37), RenewAnswer{true, seconds(36)})), nullptr);
}

TEST_F(SlotTest, GoesNowhereWithASlotThatItHasLost) {
  contend();
  ASSERT_NE(find<AcquireSlot>(sees(seconds(14), std::nullopt, 0)), nullptr);
  ASSERT_NE(find<Renew>(slot.handle(seconds(50), SlotAnswer{true})), nullptr);
  const auto effects = slot.handle(seconds(51), RenewAnswer{false, seconds(50)});
  EXPECT_EQ(find<GoOffline>(effects), nullptr);
  EXPECT_NE(find<CreateSession>(effects), nullptr);  // it asks anew
  EXPECT_EQ(slot.counts().lost, 1u);
}

TEST_F(SlotTest, FindsInTheNextReadWhatBecameOfALostAnswer) {
  contend();
  ASSERT_NE(find<AcquireSlot>(sees(seconds(1), std::nullopt, 0)), nullptr);
  slot.handle(seconds(3), CallFailed{});
  EXPECT_EQ(slot.step(), Slot::Step::waiting);
  EXPECT_NE(find<GoOffline>(sees(seconds(3), Budget{{1, 0, 0}, {{"s1", "r1", "a"}}}, 8)), nullptr);
  // Not taken, and nothing changes: asked again with the same index, which Consul refuses if it was.
  Slot other(settings());
  other.handle(seconds(0), Ask{Purpose::upgrade});
  other.handle(seconds(0), SessionCreated{"s1", seconds(0)});
  ASSERT_NE(find<AcquireSlot>(other.handle(seconds(1), BudgetSeen{std::nullopt, 0, {{"s1", 5}}})), nullptr);
  other.handle(seconds(3), CallFailed{});
  EXPECT_NE(find<AcquireSlot>(other.handle(seconds(4), TimerExpired{})), nullptr);
}

TEST_F(SlotTest, AsksAgainOnlyOnceARefusedReadIsOld) {
  contend();
  ASSERT_NE(find<AcquireSlot>(sees(seconds(1), std::nullopt, 0)), nullptr);
  EXPECT_EQ(find<AcquireSlot>(slot.handle(seconds(1), SlotAnswer{false})), nullptr);
  EXPECT_EQ(find<AcquireSlot>(sees(seconds(2), std::nullopt, 0, {{"s1", 5}, {"s2", 9}})), nullptr);
  EXPECT_NE(find<AcquireSlot>(sees(seconds(3), Budget{{1, 0, 0}, {}}, 12)), nullptr);
}

// Found with several relays: the newer read came before the refusal, and was taken for the one that was
// refused; the relay waited for a change that did not come.
TEST_F(SlotTest, AReadThatOvertakesARefusalCounts) {
  contend();
  ASSERT_NE(find<AcquireSlot>(sees(seconds(1), std::nullopt, 0)), nullptr);
  sees(seconds(1), Budget{{1, 0, 0}, {}}, 12);
  EXPECT_NE(find<AcquireSlot>(slot.handle(seconds(1), SlotAnswer{false})), nullptr);
}

TEST_F(SlotTest, ComesBehindThoseWhoAskedBeforeIt) {
  contend();
  EXPECT_EQ(find<AcquireSlot>(sees(seconds(1), std::nullopt, 0, {{"s0", 3}, {"s2", 4}, {"s1", 5}})), nullptr);
  EXPECT_EQ(find<AcquireSlot>(slot.handle(seconds(2), TimerExpired{})), nullptr);
  // Those before it may be gone: it does not wait for them for ever.
  EXPECT_NE(find<AcquireSlot>(slot.handle(seconds(3), TimerExpired{})), nullptr);
}

TEST_F(SlotTest, TakesNoSlotOfACatalogueThatIsNotHeard) {
  SlotSettings s = settings();
  s.census = true;
  slot = Slot(s);
  contend();
  ASSERT_NE(find<ReadCensus>(sees(seconds(1), std::nullopt, 0)), nullptr);
  EXPECT_EQ(find<AcquireSlot>(slot.handle(seconds(1), CensusRead{})), nullptr);
  EXPECT_EQ(slot.waits_for(), "the catalogue is not heard");
  ASSERT_NE(find<ReadCensus>(slot.handle(seconds(2), TimerExpired{})), nullptr);
  EXPECT_EQ(find<AcquireSlot>(slot.handle(seconds(2), CensusRead{true, {5, {{"r4", "b"}}}})), nullptr);
  EXPECT_EQ(slot.waits_for(), "1 of 1 are out: r4");
  ASSERT_NE(find<ReadCensus>(slot.handle(seconds(3), TimerExpired{})), nullptr);
  EXPECT_NE(find<AcquireSlot>(slot.handle(seconds(3), CensusRead{true, {5, {}}})), nullptr);
}

TEST_F(SlotTest, AStopTakesThePlaceOfWhateverElseIsAskedFor) {
  contend(Purpose::release);
  slot.handle(seconds(1), Ask{Purpose::stop});
  slot.handle(seconds(1), Ask{Purpose::upgrade});
  ASSERT_NE(find<AcquireSlot>(sees(seconds(1), std::nullopt, 0)), nullptr);
  const auto effects = slot.handle(seconds(1), SlotAnswer{true});
  ASSERT_NE(find<GoOffline>(effects), nullptr);
  EXPECT_EQ(find<GoOffline>(effects)->purpose, Purpose::stop);
}

TEST_F(SlotTest, WhatIsAskedForMeanwhileComesNextWithASlotOfItsOwn) {
  contend(Purpose::upgrade);
  slot.handle(seconds(1), Ask{Purpose::release});
  ASSERT_NE(find<AcquireSlot>(sees(seconds(1), std::nullopt, 0)), nullptr);
  ASSERT_NE(find<GoOffline>(slot.handle(seconds(1), SlotAnswer{true})), nullptr);
  ASSERT_NE(find<DestroySession>(slot.handle(seconds(2), OutageEnded{})), nullptr);
  EXPECT_NE(find<CreateSession>(slot.handle(seconds(2), SessionDestroyed{})), nullptr);
  EXPECT_EQ(slot.purpose(), Purpose::release);
  slot.handle(seconds(3), SessionCreated{"s2", seconds(2)});
  EXPECT_NE(find<DestroySession>(slot.handle(seconds(3), Cancel{Purpose::release})), nullptr);
}

// Found with several relays: one end that was lost left the slot taken for a whole TTL.
TEST_F(SlotTest, GivesBackUntilConsulHasHeardIt) {
  contend();
  ASSERT_NE(find<AcquireSlot>(sees(seconds(1), std::nullopt, 0)), nullptr);
  slot.handle(seconds(1), SlotAnswer{true});
  ASSERT_NE(find<DestroySession>(slot.handle(seconds(2), OutageEnded{})), nullptr);
  EXPECT_EQ(find<DestroySession>(slot.handle(seconds(4), CallFailed{})), nullptr);
  slot.handle(seconds(4), Ask{Purpose::upgrade});  // the old one first
  ASSERT_NE(find<DestroySession>(slot.handle(seconds(5), TimerExpired{})), nullptr);
  EXPECT_NE(find<CreateSession>(slot.handle(seconds(5), SessionDestroyed{})), nullptr);
}

TEST_F(SlotTest, AnotherLifeGivesBackTheSlotItWentOutWith) {
  slot.handle(seconds(100), Adopt{"s7"});
  slot.handle(seconds(100), RenewAnswer{true, seconds(100)});
  const auto effects = slot.handle(seconds(101), OutageEnded{});
  ASSERT_NE(find<DestroySession>(effects), nullptr);
  EXPECT_EQ(find<DestroySession>(effects)->session, "s7");
  Slot lapsed(settings());
  ASSERT_NE(find<Renew>(lapsed.handle(seconds(100), Adopt{"s7"})), nullptr);
  lapsed.handle(seconds(100), RenewAnswer{false, seconds(100)});
  EXPECT_EQ(lapsed.step(), Slot::Step::off);
}

TEST(SlotTiming, RefusesTimesThatCannotBeKept) {
  SlotSettings s;
  EXPECT_EQ(slot_problem(s, seconds(10)), "");
  s.max_outage = seconds(53);
  EXPECT_EQ(slot_problem(s, seconds(10)), "out + call: under ttl - margin");
  s = {};
  s.renew_every = seconds(54);
  EXPECT_EQ(slot_problem(s, seconds(10)), "renew + call: under ttl - margin");
  s = {};
  s.ttl = seconds(9);
  EXPECT_NE(slot_problem(s, seconds(10)), "");
}

TEST(BudgetModel, KeepsItsRulesOverSeededWalks) {
  BudgetModelBounds b;
  b.walks = 2000;
  const BudgetModelResult result = explore(b);
  EXPECT_EQ(result.broken, "");
  EXPECT_GT(result.outings, 5000u);
  b.most = 1;
  b.per_zone = 5;
  EXPECT_EQ(explore(b).broken, "");
}

TEST(BudgetModel, FindsAStoreThatTakesAnyValue) {
  BudgetModelBounds b;
  b.cas = false;
  EXPECT_NE(explore(b).broken, "");
}

TEST(BudgetModel, FindsOutingsThatOutlastTheirSession) {
  BudgetModelBounds b;
  b.lasts = false;
  b.walks = 20000;
  EXPECT_NE(explore(b).broken, "");
}

}  // namespace
}  // namespace fennellane::drain

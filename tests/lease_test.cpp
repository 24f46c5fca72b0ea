// Tests of the lease without Consul: each test supplies Consul's answers.
#include "lease.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "lease_model.hpp"

namespace fennellane::lease {
namespace {

using std::chrono::seconds;

Timing short_timing() {  // the timing of the model, in seconds
  Timing t;
  t.ttl = seconds(5);
  t.renew_every = seconds(2);
  t.margin = seconds(1);
  t.lock_delay = seconds(2);
  t.call = seconds(2);
  t.retry = seconds(1);
  t.spread = seconds(0);
  return t;
}

template <class E>
const E* find(const std::vector<Effect>& effects) {
  for (const Effect& e : effects)
    if (const auto* found = std::get_if<E>(&e)) return found;
  return nullptr;
}

// A lease that seeks the role, with a session created at 0 and the lock granted: the starting state of most
// tests.
Lease lease_with_lock(const Timing& timing) {
  Lease lease(timing);
  EXPECT_EQ(find<CreateSession>(lease.handle(seconds(0), AcquireRole{})), nullptr);  // the key is read first
  EXPECT_NE(find<CreateSession>(lease.handle(seconds(0), KeyRead{"", 0, 1})), nullptr);
  EXPECT_NE(find<AcquireLock>(lease.handle(seconds(0), SessionCreated{"s1", seconds(0)})), nullptr);
  lease.handle(seconds(1), AcquireAnswered{true, seconds(0)});
  EXPECT_EQ(lease.state(), Lease::State::holding);
  return lease;
}

TEST(Lease, BecomesActiveOnlyOnceTheTokenIsKnown) {
  Lease lease = lease_with_lock(short_timing());
  EXPECT_FALSE(lease.may_act(seconds(1)));
  const auto effects = lease.handle(seconds(1), KeyRead{"s1", 7, 20});
  ASSERT_NE(find<LeaseActive>(effects), nullptr);
  EXPECT_EQ(find<LeaseActive>(effects)->token, 7u);
  EXPECT_TRUE(lease.may_act(seconds(1)));
  EXPECT_EQ(lease.token(), 7u);
}

TEST(Lease, LapsesIfNoRenewIsConfirmedBeforeTheMargin) {
  Lease lease = lease_with_lock(short_timing());
  lease.handle(seconds(1), KeyRead{"s1", 7, 20});
  EXPECT_NE(find<RenewSession>(lease.handle(seconds(2), TimerExpired{})), nullptr);
  lease.handle(seconds(3), CallFailed{});
  EXPECT_TRUE(lease.may_act(seconds(3)));
  // The lease ends `ttl - margin` after the send of the session's create, at 4 s.
  EXPECT_FALSE(lease.may_act(seconds(4)));
  EXPECT_NE(find<LeaseInactive>(lease.handle(seconds(4), TimerExpired{})), nullptr);
  EXPECT_EQ(lease.state(), Lease::State::lapsed);
}

TEST(Lease, MeasuresFromTheSendOfTheRenewNotItsAnswer) {
  Lease lease = lease_with_lock(short_timing());
  lease.handle(seconds(1), KeyRead{"s1", 7, 20});
  lease.handle(seconds(2), TimerExpired{});
  lease.handle(seconds(3), RenewAnswered{true, seconds(2)});  // sent at 2, answered at 3
  EXPECT_TRUE(lease.may_act(seconds(5)));
  EXPECT_FALSE(lease.may_act(seconds(6)));  // 2 + 5 - 1
}

// Found by the model checker: the key was first read after the lease had lapsed, and then a renew was
// answered.
TEST(Lease, ReadsTheTokenFromTheKeyWhenARenewEndsALapse) {
  Lease lease = lease_with_lock(short_timing());
  lease.handle(seconds(2), TimerExpired{});       // the renew is sent
  lease.handle(seconds(4), KeyRead{"s1", 1, 2});  // at the end of the lease: lapsed, not active
  EXPECT_EQ(lease.state(), Lease::State::lapsed);
  const auto effects = lease.handle(seconds(4), RenewAnswered{true, seconds(3)});
  ASSERT_NE(find<LeaseActive>(effects), nullptr);
  EXPECT_EQ(find<LeaseActive>(effects)->token, 1u);
  EXPECT_EQ(lease.token(), 1u);
}

TEST(Lease, StopsAtOnceIfTheKeyNamesAnotherHolder) {
  Lease lease = lease_with_lock(short_timing());
  lease.handle(seconds(1), KeyRead{"s1", 7, 20});
  const auto effects = lease.handle(seconds(1), KeyRead{"s2", 8, 21});
  EXPECT_NE(find<LeaseInactive>(effects), nullptr);
  EXPECT_FALSE(lease.may_act(seconds(1)));
  // For a held key the lease waits on the blocking read, without a session.
  ASSERT_NE(find<ReleaseSession>(effects), nullptr);
  EXPECT_FALSE(find<ReleaseSession>(effects)->holds_lock);
  lease.handle(seconds(2), SessionReleased{});
  EXPECT_EQ(lease.state(), Lease::State::waiting);
  EXPECT_EQ(find<CreateSession>(lease.handle(seconds(9), TimerExpired{})), nullptr);
  EXPECT_NE(find<CreateSession>(lease.handle(seconds(9), KeyRead{"", 8, 22})), nullptr);
}

// Three hundred relays waiting for one role must not all try at the same moment, nor keep sessions.
TEST(Lease, SpreadsAttemptsAndCancelsThoseThatSeeTheKeyHeld) {
  Timing timing = short_timing();
  timing.spread = seconds(10);
  std::vector<Time> attempts;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Lease lease(timing, seed * 1000);
    lease.handle(seconds(0), AcquireRole{});
    const auto effects = lease.handle(seconds(0), KeyRead{"", 4, 9});
    EXPECT_EQ(find<CreateSession>(effects), nullptr);
    ASSERT_NE(find<SetTimer>(effects), nullptr);
    attempts.push_back(find<SetTimer>(effects)->at);
    lease.handle(seconds(0), KeyRead{"other", 5, 10});
    EXPECT_EQ(find<CreateSession>(lease.handle(attempts.back(), TimerExpired{})), nullptr);
    EXPECT_EQ(lease.state(), Lease::State::waiting);
  }
  std::sort(attempts.begin(), attempts.end());
  EXPECT_LT(attempts.front(), seconds(1));
  EXPECT_GT(attempts.back(), seconds(9));
  EXPECT_GT(attempts[150], seconds(3));
  EXPECT_LT(attempts[150], seconds(7));
}

// After Consul lost its state, indexes restart below those already seen.
TEST(Lease, AcceptsALowerIndexAfterAnIndexReset) {
  Lease lease = lease_with_lock(short_timing());
  lease.handle(seconds(1), KeyRead{"s1", 7, 20});
  lease.handle(seconds(1), KeyRead{"", 0, 3});  // indistinguishable from an old answer
  EXPECT_TRUE(lease.may_act(seconds(1)));
  EXPECT_NE(find<LeaseInactive>(lease.handle(seconds(1), KeyRead{"", 0, 3, true})), nullptr);
  EXPECT_FALSE(lease.may_act(seconds(1)));
}

// Found by the model checker: an answer read before the acquire and received after it showed the key as free.
TEST(Lease, KeepsTheLockAfterAnAnswerFromBeforeTheAcquire) {
  Lease lease = lease_with_lock(short_timing());  // the key was read as free at index 1, then acquired
  lease.handle(seconds(1), KeyRead{"", 0, 1});
  EXPECT_EQ(lease.state(), Lease::State::holding);
  EXPECT_NE(find<LeaseActive>(lease.handle(seconds(1), KeyRead{"s1", 7, 2})), nullptr);
}

TEST(Lease, IgnoresAnOlderAnswerOfTheBlockingRead) {
  Lease lease = lease_with_lock(short_timing());
  lease.handle(seconds(1), KeyRead{"s1", 7, 20});
  lease.handle(seconds(1), KeyRead{"s2", 6, 19});
  EXPECT_TRUE(lease.may_act(seconds(1)));
}

TEST(Lease, RecognizesALockWhoseAcquireAnswerWasLost) {
  Lease lease(short_timing());
  lease.handle(seconds(0), AcquireRole{});
  lease.handle(seconds(0), KeyRead{"", 0, 1});
  lease.handle(seconds(0), SessionCreated{"s1", seconds(0)});
  lease.handle(seconds(2), CallFailed{});  // the answer to a successful acquire was lost
  EXPECT_NE(find<LeaseActive>(lease.handle(seconds(2), KeyRead{"s1", 3, 9})), nullptr);
}

TEST(Lease, CreatesANewSessionAfterTheOldOneWasInvalidated) {
  Lease lease = lease_with_lock(short_timing());
  lease.handle(seconds(1), KeyRead{"s1", 7, 20});
  lease.handle(seconds(2), TimerExpired{});
  const auto effects = lease.handle(seconds(3), RenewAnswered{false, seconds(2)});
  EXPECT_NE(find<LeaseInactive>(effects), nullptr);
  EXPECT_TRUE(lease.session().empty());
  // The key still names the old session: a new one is only useful once Consul has released the lock.
  EXPECT_EQ(find<CreateSession>(effects), nullptr);
  EXPECT_NE(find<CreateSession>(lease.handle(seconds(3), KeyRead{"", 7, 21})), nullptr);
}

TEST(Lease, ResignsByReleaseAndDestroy) {
  Lease lease = lease_with_lock(short_timing());
  lease.handle(seconds(1), KeyRead{"s1", 7, 20});
  const auto effects = lease.handle(seconds(1), ResignRole{});
  EXPECT_NE(find<LeaseInactive>(effects), nullptr);
  ASSERT_NE(find<ReleaseSession>(effects), nullptr);
  EXPECT_TRUE(find<ReleaseSession>(effects)->holds_lock);
  lease.handle(seconds(2), SessionReleased{});
  EXPECT_EQ(lease.state(), Lease::State::off);
}

// A relay that resigned the role, having no use for it, must not get it back each time before the others.
TEST(Lease, WaitsLongerThanOthersAfterResigning) {
  Timing timing = short_timing();
  timing.spread = seconds(10);
  Lease lease(timing);
  lease.handle(seconds(0), AcquireRole{});
  lease.handle(seconds(0), KeyRead{"", 0, 1});
  lease.handle(seconds(10), TimerExpired{});
  lease.handle(seconds(10), SessionCreated{"s1", seconds(10)});
  lease.handle(seconds(10), AcquireAnswered{true, seconds(10)});
  ASSERT_NE(find<LeaseActive>(lease.handle(seconds(10), KeyRead{"s1", 7, 2})), nullptr);
  EXPECT_NE(find<ReleaseSession>(lease.handle(seconds(11), ResignRole{})), nullptr);
  lease.handle(seconds(11), AcquireRole{});
  lease.handle(seconds(11), KeyRead{"", 7, 3});
  lease.handle(seconds(11), SessionReleased{});
  EXPECT_EQ(find<CreateSession>(lease.handle(seconds(21), TimerExpired{})), nullptr);
  EXPECT_NE(find<CreateSession>(lease.handle(seconds(22), TimerExpired{})), nullptr);
}

// While the lock-delay runs the key looks free; with 300 relays, all that waited created sessions and were
// refused, some repeatedly.
TEST(Lease, WaitsForTheLockDelayOfAnExpiredLock) {
  Timing timing = short_timing();
  timing.lock_delay = seconds(6);
  timing.spread = Time::zero();
  Lease lease(timing);
  lease.handle(seconds(0), AcquireRole{});
  lease.handle(seconds(0), KeyRead{"other", 4, 9});
  EXPECT_EQ(find<CreateSession>(lease.handle(seconds(10), KeyRead{"", 4, 10, false, true})), nullptr);
  EXPECT_EQ(find<CreateSession>(lease.handle(seconds(15), TimerExpired{})), nullptr);
  EXPECT_NE(find<CreateSession>(lease.handle(seconds(16), TimerExpired{})), nullptr);
  // A released lock is tried at once, and rereading an unchanged key does not restart the wait.
  Lease second(timing);
  second.handle(seconds(0), AcquireRole{});
  second.handle(seconds(0), KeyRead{"other", 4, 9});
  EXPECT_NE(find<CreateSession>(second.handle(seconds(10), KeyRead{"", 4, 10})), nullptr);
  Lease third(timing);
  third.handle(seconds(0), AcquireRole{});
  third.handle(seconds(0), KeyRead{"", 4, 10, false, true});
  third.handle(seconds(5), KeyRead{"", 4, 10, false, true});
  EXPECT_NE(find<CreateSession>(third.handle(seconds(6), TimerExpired{})), nullptr);
}

TEST(Lease, RejectsATimingWithoutTimeForARenew) {
  EXPECT_EQ(timing_problem(Timing{}), "");
  Timing t;
  t.renew_every = seconds(12);
  EXPECT_NE(timing_problem(t), "");
}

}  // namespace
}  // namespace fennellane::lease

namespace fennellane::lease {
namespace {

// Random walks of the model: the lease keeps the three rules, and the two seeded bugs are found.
LeaseModelBounds walks(std::size_t count) {
  LeaseModelBounds b;
  b.ticks = 40;
  b.ttl = 10;
  b.renew_every = 4;
  b.margin = 1;
  b.lock_delay = 3;
  b.pauses = 6;
  b.losses = 3;
  b.crashes = 1;
  b.walks = count;
  return b;
}

TEST(LeaseModel, KeepsItsRulesOverSeededWalks) {
  const LeaseModelResult result = explore(walks(5000));
  EXPECT_EQ(result.broken, "");
  EXPECT_GT(result.acts, 1000u);
}

TEST(LeaseModel, FindsAnUnfencedWriteOfAnOldOwner) {
  LeaseModelBounds b = walks(60000);
  b.fence = false;
  EXPECT_EQ(explore(b).broken, "a write was taken from a session that does not hold the lock");
}

TEST(LeaseModel, FindsALeaseMeasuredFromTheRenewsAnswer) {
  LeaseModelBounds b = walks(60000);
  b.from_answer = true;
  EXPECT_EQ(explore(b).broken, "a lease let its contender act while Consul held the lock otherwise");
}

}  // namespace
}  // namespace fennellane::lease

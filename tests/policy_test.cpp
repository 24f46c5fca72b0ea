// Tests of the library alone, without a clock or the simulator: one forwarder is driven event by event.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "starlinghook/delivery.hpp"

namespace {

using namespace starlinghook;
using std::chrono::milliseconds;
using std::chrono::seconds;

Settings settings(Effect effect = Effect::safe) {
  Settings s;
  s.forwarders = 1;
  ClassSettings c;
  c.effect = effect;
  c.aim = seconds(4);
  c.deadline = seconds(30);
  c.dedup_window = seconds(15);
  c.worth = 1;
  c.late_worth = 0.3;
  s.classes = {c};
  s.kinds = {KindSettings{}, KindSettings{true, 1}, KindSettings{false, 5}};
  s.slots = 8;
  s.max_held = 100;
  s.max_attempts = 12;
  s.connect_timeout = milliseconds(1500);
  s.connection_idle_timeout = seconds(10);
  s.max_retry_after = seconds(3);
  s.resolution = milliseconds(5);
  s.answer_slack = milliseconds(20);
  s.can_cancel = true;
  s.can_send_retry_after = true;
  s.drain_grace = milliseconds(500);
  s.slow_start_time = seconds(10);
  s.slow_start_min_share = 0.2;
  s.overload_factor = 2;
  s.overload_window = seconds(3);
  return s;
}

class ForwarderHarness {  // a forwarder with its clock; collects the actions
 public:
  explicit ForwarderHarness(const Settings& s,
                            std::vector<EndpointEntry> list = {{1, 7, 0, 0, 50, Condition::ready}})
      : forwarder(s) {
    forwarder.start(now, actions);
    handle(ListChanged{true, false, std::move(list)});
  }
  void handle(const Event& e) {
    forwarder.handle(now, e, actions);
    for (const Action& a : actions) {
      if (const auto* t = std::get_if<SetTimer>(&a)) timers.push_back(t->at);
      if (const auto* s = std::get_if<Send>(&a)) sent.push_back({*s, now});
      if (const auto* r = std::get_if<Refuse>(&a)) refused.push_back(*r);
      if (const auto* f = std::get_if<Fail>(&a)) failed.push_back(f->id);
      if (const auto* c = std::get_if<Cancel>(&a)) cancelled.push_back(c->id);
      if (const auto* l = std::get_if<LogMessage>(&a)) logged.push_back(l->text);
      if (const auto* i = std::get_if<CloseIdleConnections>(&a)) closed_idle.push_back(i->endpoint);
    }
    last = actions;
    actions.clear();
  }
  void submit(MessageId id, Time left = seconds(30), std::uint32_t c = 0, std::uint64_t key = 0,
              DestinationId destination = 7) {
    handle(MessageArrived{id, c, 0, destination, key, left});
  }
  void outcome(MessageId id, Outcome o, Time wait = Time(0), bool finished = false) {
    std::uint32_t attempt = 0;
    EndpointId endpoint = 0;
    for (const auto& [s, at] : sent) {
      if (s.id != id) continue;
      if (endpoint != 0) ++attempt;
      endpoint = s.endpoint;
    }
    handle(AttemptEnded{
        id, attempt, endpoint, o, finished || o == Outcome::delivered, wait, false, {}, false, Time(-1)});
  }
  void advance(Time by) {  // expires the timers that fall due
    Time until = now + by;
    while (true) {
      auto next = std::min_element(timers.begin(), timers.end());
      if (next == timers.end() || *next > until) break;
      now = std::max(now, *next);
      timers.erase(next);
      handle(TimerExpired{});
    }
    now = until;
  }
  std::size_t send_count(MessageId id) const {
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [&](const auto& s) { return s.first.id == id; }));
  }
  Time last_send_time() const { return sent.back().second; }

  // Copies the collected actions; the forwarder of the copy starts without state.
  ForwarderHarness(const ForwarderHarness& other)
      : now(other.now),
        forwarder(Settings(settings())),
        timers(other.timers),
        sent(other.sent),
        refused(other.refused),
        failed(other.failed),
        cancelled(other.cancelled),
        logged(other.logged),
        closed_idle(other.closed_idle) {}
  ForwarderHarness& operator=(ForwarderHarness&&) = default;

  Time now = seconds(1000);
  Forwarder forwarder;
  std::vector<Action> actions, last;
  std::vector<Time> timers;
  std::vector<std::pair<Send, Time>> sent;
  std::vector<Refuse> refused;
  std::vector<MessageId> failed, cancelled;
  std::vector<std::string> logged;
  std::vector<EndpointId> closed_idle;
};

void warm_up(ForwarderHarness& b, MessageId first, int count, DestinationId destination = 7) {
  for (MessageId id = first; id < first + static_cast<MessageId>(count); ++id) {
    b.submit(id, seconds(30), 0, 0, destination);
    b.advance(milliseconds(100));
    b.outcome(id, Outcome::delivered);
    b.advance(milliseconds(400));
  }
}

// --- The ordinary path
TEST(OrdinaryPath, SendsAtOnceAndEndsWithDelivery) {
  ForwarderHarness b(settings());
  b.submit(1);
  ASSERT_EQ(b.send_count(1), 1u);
  b.outcome(1, Outcome::delivered);
  b.advance(seconds(60));
  EXPECT_EQ(b.send_count(1), 1u);
  EXPECT_TRUE(b.refused.empty() && b.failed.empty());
}

TEST(OrdinaryPath, WaitsMultiplierTimesAttemptsWithoutJitter) {
  ForwarderHarness b(settings());
  warm_up(b, 100, 3);
  b.submit(1);
  Time pause[3];
  for (Time& p : pause) {
    b.advance(milliseconds(50));
    Time ended = b.now;
    b.outcome(1, Outcome::full);
    std::size_t before = b.send_count(1);
    while (b.send_count(1) == before) b.advance(milliseconds(5));
    p = b.last_send_time() - ended;
  }
  EXPECT_NEAR(pause[0].count(), 1e6, 6e3);  // a quarter of the aim
  EXPECT_NEAR(pause[1].count(), 2e6, 6e3);
  EXPECT_NEAR(pause[2].count(), 3e6, 6e3);
}

TEST(OrdinaryPath, RequestedWaitAppliesToTheWholeDestination) {
  ForwarderHarness b(settings());
  warm_up(b, 100, 3);
  b.submit(1);
  b.submit(2);
  Time refused_at = b.now;
  b.outcome(1, Outcome::full, milliseconds(2500));
  b.outcome(2, Outcome::full, milliseconds(100));  // does not shorten the first wait
  b.submit(3);
  std::size_t before = b.sent.size();
  b.advance(milliseconds(2499));
  EXPECT_EQ(b.sent.size(), before);
  b.advance(milliseconds(100));
  EXPECT_GT(b.sent.size(), before);
  EXPECT_GE(b.sent[before].second, refused_at + milliseconds(2500));
}

TEST(OrdinaryPath, RequestedWaitAppliesToOneRouteWhereRoutesAreSeparate) {
  ForwarderHarness b(settings(), {{1, 7, 0, 1, 50, Condition::ready}, {2, 7, 0, 1, 50, Condition::ready}});
  b.submit(1);
  EndpointId first = b.sent[0].first.endpoint;
  b.outcome(1, Outcome::full, seconds(5));
  b.submit(2);
  ASSERT_EQ(b.send_count(2), 1u);
  EXPECT_NE(b.sent[1].first.endpoint, first);
}

TEST(OrdinaryPath, EndsAtTheAttemptLimit) {
  Settings s = settings();
  s.max_attempts = 2;
  ForwarderHarness b(s);
  b.submit(1);
  b.outcome(1, Outcome::full);
  b.advance(seconds(3));
  ASSERT_EQ(b.send_count(1), 2u);
  b.outcome(1, Outcome::full);
  EXPECT_EQ(b.refused.size(), 1u);
}

TEST(OrdinaryPath, GivesUpAtOnceIfWaitAndCallDoNotFitTheTimeLeft) {
  ForwarderHarness b(settings());
  b.submit(1, milliseconds(2000));
  b.advance(milliseconds(100));
  b.outcome(1, Outcome::full, milliseconds(2500));
  ASSERT_EQ(b.refused.size(), 1u);
  EXPECT_EQ(b.refused[0].id, 1u);
  EXPECT_GE(b.refused[0].retry_after, milliseconds(2400));
}

TEST(OrdinaryPath, WindowGrowsFromOneByOneUpToThreeQuartersOfTheSlots) {
  ForwarderHarness b(settings());
  for (MessageId id = 1; id <= 30; ++id) b.submit(id);
  EXPECT_EQ(b.sent.size(), 1u);
  b.advance(milliseconds(200));
  b.outcome(1, Outcome::delivered);
  EXPECT_EQ(b.sent.size(), 3u);
  for (MessageId id = 2; id <= 20; ++id) {
    b.advance(milliseconds(100));
    b.outcome(id, Outcome::delivered);
  }
  EXPECT_EQ(b.sent.size() - 20, 6u);
}

TEST(OrdinaryPath, RefusalHalvesTheWindow) {
  ForwarderHarness b(settings());
  warm_up(b, 100, 10);
  for (MessageId id = 1; id <= 30; ++id) b.submit(id);
  ASSERT_EQ(b.sent.size(), 16u);
  b.advance(milliseconds(100));
  b.outcome(1, Outcome::full);
  for (MessageId id = 2; id <= 3; ++id) b.outcome(id, Outcome::cancelled);
  b.advance(milliseconds(200));
  EXPECT_EQ(b.sent.size(), 16u) << "three are in flight, and the window is three";
}

// --- Rules that every send has to satisfy
TEST(Effects, UnsafeFailsAtOnceAfterAnUncertainOutcome) {
  ForwarderHarness b(settings(Effect::unsafe));
  b.submit(1);
  b.outcome(1, Outcome::error);
  EXPECT_EQ(b.failed, std::vector<MessageId>{1});
  EXPECT_TRUE(b.refused.empty());
}

TEST(Effects, UnsafeIsRetriedWhenItCertainlyDidNotRun) {
  for (Outcome o : {Outcome::full, Outcome::connect_failed, Outcome::not_sent}) {
    ForwarderHarness b(settings(Effect::unsafe));
    b.submit(1);
    b.outcome(1, o);
    b.advance(seconds(8));
    EXPECT_EQ(b.send_count(1), 2u);
    EXPECT_TRUE(b.failed.empty());
  }
}

TEST(Effects, KeyedStaysInItsZoneAndFailsAfterItsWindow) {
  Settings s = settings(Effect::keyed);
  s.classes[0].key_scope = KeyScope::zone;
  ForwarderHarness b(s, {{1, 7, 0, 0, 50, Condition::ready}});
  b.submit(1);
  Time first = b.now;
  b.advance(milliseconds(100));
  b.outcome(1, Outcome::reset);
  b.handle(ListChanged{false, false, {{1, 7, 0, 0, 0, Condition::gone}, {2, 7, 1, 0, 50, Condition::ready}}});
  b.advance(first + milliseconds(14900) - b.now);
  EXPECT_EQ(b.send_count(1), 1u) << "no endpoint of its zone";
  EXPECT_TRUE(b.failed.empty());
  b.advance(seconds(16));
  EXPECT_EQ(b.send_count(1), 1u);
  EXPECT_EQ(b.failed, std::vector<MessageId>{1});
  EXPECT_TRUE(b.refused.empty()) << "a refusal would mean that a repeat is harmless";
}

// Repeats are dropped only for a while after the first call, so the Send states until when the repeat may
// begin.
TEST(Effects, AKeyedRepeatBeginsWithinItsWindow) {
  Settings s = settings(Effect::keyed);
  s.classes[0].aim = seconds(2);
  s.classes[0].dedup_window = seconds(1);
  ForwarderHarness b(s);
  b.submit(1);
  const Time first = b.now;
  b.advance(milliseconds(100));
  b.outcome(1, Outcome::reset);
  b.advance(milliseconds(850));
  ASSERT_EQ(b.send_count(1), 2u);
  const Send& repeat = b.sent.back().first;
  EXPECT_LE(b.sent.back().second + repeat.begin_within, first + seconds(1));
  EXPECT_GT(repeat.begin_within, Time(0));
}

TEST(Effects, KeyedForAllEndpointsMayBeRefusedAfterAnUncertainOutcome) {
  ForwarderHarness b(settings(Effect::keyed));
  b.submit(1, seconds(3));
  b.advance(milliseconds(2950));
  b.outcome(1, Outcome::reset);
  EXPECT_EQ(b.refused.size(), 1u);
  EXPECT_TRUE(b.failed.empty());
}

TEST(FinalAnswer, CallInFlightAtTheDeadlineEndsTheMessageByItsTimeout) {
  ForwarderHarness b(settings(Effect::unsafe));
  b.submit(1, seconds(5));
  EXPECT_LE(b.sent[0].first.timeout, seconds(5));
  b.advance(seconds(5));
  EXPECT_TRUE(b.failed.empty());
  b.outcome(1, Outcome::timeout);
  EXPECT_EQ(b.failed, std::vector<MessageId>{1});
}

TEST(FinalAnswer, DroppedMessageIsNotRetriedAndItsLateOutcomeCounts) {
  Settings s = settings();
  s.slots = 1;
  ForwarderHarness b(s);
  b.submit(1);
  b.submit(2);
  b.handle(MessageDropped{1});
  b.handle(MessageDropped{99});
  EXPECT_EQ(b.send_count(2), 0u) << "the slot is still in use";
  b.outcome(1, Outcome::full);
  b.advance(seconds(20));
  EXPECT_EQ(b.send_count(1), 1u);
  EXPECT_EQ(b.send_count(2), 1u);
  for (const Refuse& r : b.refused) EXPECT_NE(r.id, 1u);
}

TEST(FinalAnswer, MessageWithoutAnyEndpointEndsBeforeItsDeadline) {
  ForwarderHarness b(settings(), {});
  b.submit(1, seconds(5));
  b.advance(milliseconds(4999));
  EXPECT_EQ(b.refused.size(), 1u);
}

TEST(DrainingEndpoints, StopNewCallsAtOnceAndAFullListRemovesMissingEndpoints) {
  ForwarderHarness b(settings());
  b.handle(ListChanged{false, false, {{1, 7, 0, 0, 50, Condition::draining}}});
  b.submit(1);
  EXPECT_TRUE(b.sent.empty());
  b.handle(ListChanged{false, false, {{1, 7, 0, 0, 50, Condition::ready}}});
  EXPECT_EQ(b.send_count(1), 1u);
  b.handle(ListChanged{true, false, {{2, 7, 0, 0, 50, Condition::ready}}});
  b.advance(milliseconds(200));
  b.outcome(1, Outcome::delivered);
  b.submit(2);
  EXPECT_EQ(b.sent.back().first.endpoint, 2u);
}

TEST(Order, MessagesOfAKeyAreSequentialWithAPauseAfterAnUncertainOutcome) {
  Settings s = settings();
  s.classes[0].sequential = true;
  s.key_quiet_time = seconds(3);
  ForwarderHarness b(s);
  warm_up(b, 100, 3);
  b.submit(1, seconds(30), 0, 55);
  b.submit(2, seconds(30), 0, 55);
  b.submit(3, seconds(30), 0, 56);
  EXPECT_EQ(b.send_count(2), 0u);
  EXPECT_EQ(b.send_count(3), 1u);
  b.advance(milliseconds(100));
  b.handle(MessageDropped{1});
  EXPECT_EQ(b.send_count(2), 0u) << "an attempt of the first is still in flight";
  b.outcome(1, Outcome::timeout, Time(0), true);
  Time quiet_until = b.now + s.key_quiet_time;
  b.advance(seconds(2));
  EXPECT_EQ(b.send_count(2), 0u);
  b.advance(seconds(2));
  ASSERT_EQ(b.send_count(2), 1u);
  EXPECT_GE(b.last_send_time(), quiet_until);
}

TEST(Lists, AreRequestedWhereChangesAreNotPushed) {
  Settings s = settings();
  s.list_on_request = true;
  s.max_list_request_delay = seconds(10);
  Forwarder f(s);
  std::vector<Action> out;
  f.start(Time(1000), out);
  EXPECT_TRUE(std::holds_alternative<WatchList>(out.at(0)));
  out.clear();
  f.handle(Time(2000), ListFailed{}, out);
  ASSERT_EQ(out.size(), 1u);
  Time retry_at = std::get<SetTimer>(out[0]).at;
  EXPECT_LE(retry_at, Time(2000) + s.max_list_request_delay);
  out.clear();
  f.handle(retry_at, TimerExpired{}, out);
  EXPECT_TRUE(std::holds_alternative<WatchList>(out.at(0)));
}

// --- Extensions
// The largest number of sends within any time of length `span`.
std::size_t max_sends_in_any_span(const ForwarderHarness& b, std::size_t from, Time span) {
  std::size_t max_sends = 0;
  for (std::size_t i = from; i < b.sent.size(); ++i) {
    std::size_t n = 0;
    while (i + n < b.sent.size() && b.sent[i + n].second < b.sent[i].second + span) ++n;
    max_sends = std::max(max_sends, n);
  }
  return max_sends;
}

TEST(ReturningDestination, GetsOnlyProbeCallsInTheOutageAndABudgetInSlowStart) {
  Settings s = settings();
  ForwarderHarness b(s, {{1, 7, 0, 0, 10, Condition::ready}});
  warm_up(b, 100, 5);
  std::size_t before = b.sent.size();
  for (MessageId id = 1; id <= 60; ++id) b.submit(id);
  auto answer_all = [&](Outcome o, Time each) {
    for (std::size_t i = before; i < b.sent.size(); ++i) {
      b.advance(each);
      b.outcome(b.sent[i].first.id, o);
    }
    before = b.sent.size();
  };
  answer_all(Outcome::connect_failed, milliseconds(1));
  std::size_t probes_from = b.sent.size();
  for (int i = 0; i < 40; ++i) {
    b.advance(milliseconds(250));
    answer_all(Outcome::connect_failed, milliseconds(1));
  }
  // factor 2 x 0.2 x 10 a second x 3 s = 12 calls at most in any 3 s of the outage; one probe call at a time
  // sends fewer.
  EXPECT_LE(max_sends_in_any_span(b, probes_from, s.overload_window), 6u);
  EXPECT_GE(b.sent.size(), probes_from + 2) << "its return must be detected";
  std::size_t slow_start_from = b.sent.size();
  for (int i = 0; i < 12; ++i) {
    b.advance(milliseconds(250));
    answer_all(Outcome::delivered, milliseconds(1));
  }
  EXPECT_GT(b.sent.size(), slow_start_from + 3);
  EXPECT_LE(max_sends_in_any_span(b, slow_start_from, s.overload_window), 12u + 8u);
}

// An endpoint whose drain is withdrawn, as by a health check, may have restarted and gets the slow-start
// budget.
TEST(ReturningDestination, AnEndpointBackFromADrainBeginsASlowStart) {
  const Settings s = settings();
  for (const bool drained : {false, true}) {
    ForwarderHarness b(s, {{1, 7, 0, 0, 100, Condition::ready}});
    warm_up(b, 1, 20);
    if (drained) {
      b.handle(ListChanged{false, false, {{1, 7, 0, 0, 100, Condition::draining}}});
      b.handle(ListChanged{false, false, {{1, 7, 0, 0, 100, Condition::ready}}});
    }
    const std::size_t before = b.sent.size();
    for (MessageId id = 1000; id < 1300; ++id) {
      b.submit(id);
      if (b.send_count(id) > 0) b.outcome(id, Outcome::delivered);
      b.advance(milliseconds(10));
    }
    // In 3 s a destination of 100 calls a second takes some 300; in slow start it takes 2 x 0.2 to 0.44 x 100
    // x 3 s.
    if (drained) {
      EXPECT_LE(b.sent.size() - before, 300u * 2 * 44 / 100);
    }
    if (!drained) {
      EXPECT_GE(b.sent.size() - before, 280u);
    }
  }
}

TEST(EndpointHealth, OneErrorDoesNotMakeADestinationUnhealthy) {
  ForwarderHarness b(settings());
  warm_up(b, 100, 8);
  b.submit(1);
  b.outcome(1, Outcome::error);
  for (MessageId id = 2; id <= 6; ++id) b.submit(id);
  EXPECT_EQ(b.send_count(2) + b.send_count(3) + b.send_count(4) + b.send_count(5) + b.send_count(6), 5u);
}

TEST(Capacity, MessageWithTheLeastLaterWorthIsGivenUpNearTheLimit) {
  Settings s = settings();
  s.max_held = 20;
  s.can_cancel = false;
  ForwarderHarness b(s, {{1, 7, 0, 0, 50, Condition::ready}, {2, 8, 0, 0, 50, Condition::ready}});
  b.submit(1);
  b.outcome(1, Outcome::connect_failed);
  b.submit(2);
  b.advance(seconds(2));
  for (MessageId id = 3; id <= 40; ++id) b.submit(id);  // for the failing destination 7
  EXPECT_GT(b.refused.size(), 15u);
  std::size_t before = b.refused.size();
  b.submit(1000, seconds(30), 0, 0, 8);
  EXPECT_EQ(b.send_count(1000), 1u);
  for (std::size_t i = before; i < b.refused.size(); ++i) EXPECT_NE(b.refused[i].id, 1000u);
}

TEST(Slots, OverdueCallIsCancelledWhenAllSlotsAreInUseAndAHealthyDestinationWaits) {
  Settings s = settings();
  s.slots = 2;
  ForwarderHarness b(s, {{1, 7, 0, 0, 50, Condition::ready},
                         {2, 8, 0, 0, 50, Condition::ready},
                         {3, 9, 0, 0, 50, Condition::ready}});
  warm_up(b, 100, 4, 7);
  warm_up(b, 200, 4, 8);
  warm_up(b, 300, 4, 9);
  b.submit(1, seconds(30), 0, 0, 7);
  b.submit(2, seconds(30), 0, 0, 8);
  b.submit(3, seconds(30), 0, 0, 9);
  EXPECT_EQ(b.send_count(3), 0u);
  b.advance(milliseconds(200));
  EXPECT_TRUE(b.cancelled.empty()) << "not overdue yet";
  b.advance(seconds(3));
  ASSERT_EQ(b.cancelled.size(), 1u) << "one at a time";
  b.outcome(b.cancelled[0], Outcome::cancelled);
  EXPECT_EQ(b.send_count(3), 1u);
}

TEST(Slots, GoToTheDestinationWithTheMostWorthPerSlotSecond) {
  Settings s = settings();
  s.slots = 1;
  ClassSettings valuable = s.classes[0];
  valuable.worth = 5;
  s.classes.push_back(valuable);
  ForwarderHarness b(s, {{1, 7, 0, 0, 50, Condition::ready}, {2, 8, 0, 0, 50, Condition::ready}});
  b.submit(1, seconds(30), 0, 0, 7);
  for (MessageId id = 2; id < 30; ++id) b.submit(id, seconds(30), 0, 0, 7);
  b.submit(50, seconds(30), 1, 0, 8);
  b.advance(seconds(6));
  b.outcome(1, Outcome::delivered);
  EXPECT_EQ(b.sent.back().first.id, 50u) << "not the first destination in the table";
}

TEST(EndpointHealth, UnsafeMessageIsDelayedAfterAnUncertainFailure) {
  ForwarderHarness b(settings(Effect::unsafe));
  warm_up(b, 100, 4);
  b.submit(1);
  b.outcome(1, Outcome::error);
  b.advance(milliseconds(50));
  b.submit(2);
  b.advance(seconds(20));
  EXPECT_EQ(b.send_count(2), 0u) << "an error would be final for it";
  b.advance(seconds(10));
  EXPECT_EQ(b.send_count(2), 1u);
}

// Waiting messages are not checked at every event. Those that can no longer be sent in time must still be
// given up at once when the destination requests a wait.
TEST(Capacity, MessagesThatCannotBeSentInTimeAreGivenUpOnARequestedWait) {
  ForwarderHarness b(settings());
  b.submit(1);
  for (MessageId id = 2; id < 20; ++id) b.submit(id, id % 2 == 0 ? seconds(5) : seconds(30));
  b.outcome(1, Outcome::full, seconds(8));
  EXPECT_EQ(b.refused.size(), 9u);
  b.advance(seconds(40));
  EXPECT_GT(b.refused.size(), 9u);
}

bool logged_failing(const ForwarderHarness& b) {
  return std::any_of(b.logged.begin(), b.logged.end(),
                     [](const std::string& t) { return t.find("failing") != std::string::npos; });
}

// Refuses every call of a busy destination during `span`; returns the number of calls.
std::size_t refuse_calls_for(ForwarderHarness& b, Time span, Time wait) {
  std::size_t from = b.sent.size(), answered = from;
  for (MessageId id = 1; id <= 20; ++id) b.submit(id);
  for (Time t = Time(0); t < span; t += milliseconds(50)) {
    b.advance(milliseconds(50));
    for (; answered < b.sent.size(); ++answered) b.outcome(b.sent[answered].first.id, Outcome::full, wait);
  }
  return answered - from;
}

TEST(EndpointHealth, AThirdOfCallsResetIsNoOutage) {
  ForwarderHarness b(settings());
  warm_up(b, 100, 4);
  for (MessageId id = 1; id <= 15; ++id) {
    b.submit(id);
    b.advance(milliseconds(100));
    b.outcome(id, id % 3 == 0 ? Outcome::reset : Outcome::delivered, Time(0), true);
    b.advance(milliseconds(200));
  }
  EXPECT_EQ(b.send_count(15), 1u);
  EXPECT_FALSE(logged_failing(b));
}

TEST(EndpointHealth, ReachedLimitIsNoOutage) {
  ForwarderHarness b(settings());
  warm_up(b, 100, 4);
  EXPECT_GE(refuse_calls_for(b, milliseconds(2500), Time(0)), 5u);
  EXPECT_FALSE(logged_failing(b));
}

// An endpoint that is exempt from backoff gets the slow-start budget and no more.
TEST(EndpointHealth, EndpointsExemptFromBackoffGetOnlyTheSlowStartBudget) {
  const auto calls_per_second = [](bool capped) {
    ForwarderHarness b(settings(), {{1, 7, 0, 0, 5, Condition::ready}});
    if (capped) b.handle(BackoffCapped{{1}});
    for (MessageId id = 1; id <= 30; ++id) {
      const std::size_t before = b.sent.size();
      b.submit(id);
      for (Time waited{}; b.sent.size() == before && waited < seconds(3); waited += milliseconds(50))
        b.advance(milliseconds(50));
      if (b.sent.size() > before) b.outcome(b.sent.back().first.id, Outcome::connect_failed);
    }
    for (const auto& [send, at] : b.sent) {
      std::size_t within = 0;
      for (const auto& [other, other_at] : b.sent)
        within += other_at >= at && other_at < at + seconds(3) ? 1 : 0;
      EXPECT_LE(within, 6u);  // 2 x a fifth of 5 calls a second, in 3 s
    }
    const std::vector<DegradedEndpoint> degraded = b.forwarder.degraded_endpoints();
    EXPECT_EQ(degraded.size(), 1u);
    if (!degraded.empty()) {
      EXPECT_EQ(degraded[0].kind, DegradationKind::failing);
      EXPECT_GT(degraded[0].failure_share, 0.5);
    }
    const Time span = b.last_send_time() - b.sent.front().second;
    return static_cast<double>(b.sent.size()) / std::chrono::duration<double>(span).count();
  };
  EXPECT_GT(calls_per_second(true), 2 * calls_per_second(false));
}

TEST(EndpointHealth, ReportsSlowStartAndReducedLimits) {
  ForwarderHarness b(settings());
  warm_up(b, 100, 5);
  EXPECT_TRUE(b.forwarder.degraded_endpoints().empty());
  b.submit(1);
  b.outcome(1, Outcome::connect_failed);
  ASSERT_EQ(b.forwarder.degraded_endpoints().size(), 1u);
  b.advance(seconds(5));
  b.outcome(1, Outcome::delivered);
  ASSERT_EQ(b.forwarder.degraded_endpoints().size(), 1u);
  EXPECT_EQ(b.forwarder.degraded_endpoints()[0].kind, DegradationKind::slow_start);
  b.advance(seconds(11));
  b.submit(2);
  b.handle(AttemptEnded{2, 0, 1, Outcome::delivered, true, {}, false, {true, 0.5, 20}, false, Time(-1)});
  ASSERT_EQ(b.forwarder.degraded_endpoints().size(), 1u);
  EXPECT_EQ(b.forwarder.degraded_endpoints()[0].kind, DegradationKind::reduced_limit);
  b.handle(ListChanged{false, false, {{1, 7, 0, 0, 50, Condition::draining}}});
  EXPECT_TRUE(b.forwarder.degraded_endpoints().empty());  // the list already shows it
}

// An endpoint that was replaced but is still listed refuses connections. It alone backs off, and waiting
// messages go to its sibling at once.
TEST(EndpointHealth, AnEndpointThatIsGoneBacksOffAlone) {
  Settings s = settings();
  s.forwarders = 100;
  ForwarderHarness b(s, {{1, 7, 0, 0, 200, Condition::ready}, {2, 7, 0, 0, 200, Condition::ready}});
  std::set<EndpointId> used;
  for (MessageId id = 1; id <= 4; ++id) {
    for (const MessageId both : {id, id + 100}) b.submit(both);
    for (const MessageId both : {id, id + 100}) {
      if (b.send_count(both) == 1) b.outcome(both, Outcome::delivered);
    }
    b.advance(seconds(3));
    for (const auto& [s, at] : b.sent) used.insert(s.endpoint);
  }
  ASSERT_EQ(used.size(), 2u);
  b.submit(10);
  const EndpointId gone = b.sent.back().first.endpoint;
  b.outcome(10, Outcome::connect_failed);
  ASSERT_TRUE(logged_failing(b));
  const std::size_t before = b.sent.size();
  for (MessageId id = 11; id <= 14; ++id) {
    b.submit(id);
    if (b.send_count(id) == 1) b.outcome(id, Outcome::delivered);
    b.advance(milliseconds(700));
  }
  EXPECT_EQ(b.sent.size() - before, 5u) << "the four and the one that had failed";
  for (std::size_t i = before; i < b.sent.size(); ++i) EXPECT_NE(b.sent[i].first.endpoint, gone);
}

TEST(EndpointHealth, LongRunOfRefusalsIsAnOutage) {
  ForwarderHarness b(settings());
  warm_up(b, 100, 4);
  refuse_calls_for(b, seconds(6), Time(0));
  EXPECT_TRUE(logged_failing(b));
}

TEST(EndpointHealth, RequestedWaitLongerThanAnyLimitsWindowIsAnOutage) {
  ForwarderHarness b(settings());
  warm_up(b, 100, 4);
  refuse_calls_for(b, milliseconds(200), seconds(8));
  EXPECT_TRUE(logged_failing(b));
}

TEST(ReturningDestination, SuccessesEarnBudgetAndARefusalRevokesIt) {
  Settings s = settings();
  s.forwarders = 6;
  s.slow_start_time = seconds(60);
  ForwarderHarness b(s, {{1, 7, 0, 0, 12, Condition::ready}});
  warm_up(b, 100, 6);
  b.submit(1);
  b.outcome(1, Outcome::connect_failed);
  for (MessageId id = 2; id <= 60; ++id) b.submit(id);
  auto sends_in = [&](Time span, Outcome o) {
    std::size_t from = b.sent.size(), answered = from;
    for (Time t = Time(0); t < span; t += milliseconds(50)) {
      b.advance(milliseconds(50));
      for (; answered < b.sent.size(); ++answered) b.outcome(b.sent[answered].first.id, o);
    }
    return b.sent.size() - from;
  };
  // An even share of 2 x 0.2 x 12 x 3 is 2.4 calls in 3 s.
  std::size_t first = sends_in(seconds(3), Outcome::delivered);
  std::size_t later = sends_in(seconds(3), Outcome::delivered);
  EXPECT_GE(first, 2u);
  EXPECT_GT(later, 3u);
  EXPECT_LE(later, 11u) << "two thirds of the total at most";
  sends_in(seconds(1), Outcome::full);
  sends_in(seconds(3), Outcome::full);
  EXPECT_LE(sends_in(seconds(3), Outcome::full), 3u);
}

TEST(Slots, SilentDestinationsHoldAtMostHalfAndAHealthyOneIsServed) {
  Settings s = settings();
  s.can_cancel = false;
  std::vector<EndpointEntry> list;
  for (std::uint32_t d = 1; d <= 6; ++d) list.push_back({d, d, 0, 0, 50, Condition::ready});
  ForwarderHarness b(s, list);
  for (std::uint32_t d = 1; d <= 6; ++d) warm_up(b, 100 * d, 4, d);
  for (std::uint32_t d = 1; d <= 5; ++d) b.submit(d, seconds(30), 0, 0, d);
  b.advance(seconds(3));
  std::size_t before = b.sent.size();
  for (std::uint32_t d = 1; d <= 5; ++d) b.submit(10 + d, seconds(30), 0, 0, d);
  EXPECT_EQ(b.sent.size(), before) << "five of eight slots are silent";
  b.submit(20, seconds(30), 0, 0, 6);
  EXPECT_EQ(b.send_count(20), 1u);
}

TEST(ReturningDestination, WithoutAListedRateGetsOneCallPerOverloadWindow) {
  ForwarderHarness b(settings(), {{1, 7, 0, 0, 0, Condition::ready}});
  warm_up(b, 100, 4);
  std::size_t answered = b.sent.size(), from = answered;
  for (MessageId id = 1; id <= 5; ++id) b.submit(id);
  for (int i = 0; i < 240; ++i) {
    b.advance(milliseconds(50));
    for (; answered < b.sent.size(); ++answered)
      b.outcome(b.sent[answered].first.id, Outcome::connect_failed);
  }
  from += 5;  // calls in flight when the outage began
  EXPECT_GT(b.sent.size(), from + 1);
  EXPECT_LE(max_sends_in_any_span(b, from, settings().overload_window), 1u);
}

TEST(Pace, BurstAfterIdleTimeIsHalfASecondOfTheRateOrAFullOneWithBatches) {
  for (std::uint32_t kind : {0u, 2u}) {
    Settings s = settings();
    s.slots = 40;
    s.max_held = 1000;
    ForwarderHarness b(s, {{1, 7, 0, kind, 10, Condition::ready}});
    warm_up(b, 1000, 40);
    b.advance(seconds(5));
    std::size_t before = b.sent.size();
    for (MessageId id = 1; id <= 200; ++id) b.submit(id);
    // 10 a second: 5 calls of one message, or 10 calls of up to five.
    EXPECT_EQ(b.sent.size() - before, kind == 0 ? 5u : 50u);
  }
}

TEST(Pace, ARefusalReducesThePaceAndDeliveriesRestoreIt) {
  auto sent_after = [](int refusals) {
    ForwarderHarness b(settings(), {{1, 7, 0, 0, 4, Condition::ready}});
    warm_up(b, 1000, 10);
    std::size_t answered = b.sent.size();
    for (MessageId id = 1; id <= 90; ++id) b.submit(id);
    std::size_t from = 0;
    for (Time t = Time(0); t < Time(seconds(10)); t += milliseconds(50)) {
      b.advance(milliseconds(50));
      if (t == Time(seconds(2))) from = b.sent.size();
      for (; answered < b.sent.size(); ++answered) {
        b.outcome(b.sent[answered].first.id, refusals-- > 0 ? Outcome::full : Outcome::delivered);
      }
    }
    return b.sent.size() - from;
  };
  EXPECT_LT(sent_after(4), sent_after(0));
  EXPECT_GT(sent_after(4), 5u) << "calls continue";
}

TEST(Batches, QueuedMessagesShareOneCallAndOneSlot) {
  Settings s = settings();
  s.slots = 2;
  ForwarderHarness b(s, {{1, 7, 0, 2, 50, Condition::ready}});
  for (MessageId id = 1; id <= 5; ++id) b.submit(id);
  EXPECT_EQ(b.sent.size(), 5u);
  b.submit(6);
  EXPECT_EQ(b.send_count(6), 0u) << "the batch is full and the window is one";
}

// --- Many forwarders at one destination
Settings settings_of_one_among_many() {
  Settings s = settings();
  s.forwarders = 250;
  s.seed = 7;
  return s;
}
std::vector<EndpointEntry> small_destination() {
  return {{1, 7, 0, 0, 3, Condition::ready}, {2, 8, 0, 0, 300, Condition::ready}};
}

// Answers each call at once with `outcome` until `span` is over; returns the times of the calls.
std::vector<Time> calls_answered_with(ForwarderHarness& b, Outcome outcome, Time span) {
  std::vector<Time> times;
  std::size_t answered = b.sent.size();
  for (Time t = Time(0); t < span; t += milliseconds(50)) {
    for (; answered < b.sent.size(); ++answered) {
      times.push_back(b.sent[answered].second);
      b.outcome(b.sent[answered].first.id, outcome);
    }
    b.advance(milliseconds(50));
  }
  return times;
}

TEST(ManyForwarders, RefusalsSpaceOutTheCallsToADestination) {
  for (bool many : {true, false}) {
    Settings s = settings_of_one_among_many();
    if (!many) s.forwarders = 1;
    ForwarderHarness b(s, small_destination());
    warm_up(b, 1000, 5);
    std::size_t from = b.sent.size();
    for (MessageId id = 1; id <= 20; ++id) b.submit(id);
    while (b.sent.size() == from) b.advance(milliseconds(50));
    b.outcome(b.sent.back().first.id, Outcome::full);
    std::size_t calls = calls_answered_with(b, Outcome::full, seconds(20)).size();
    if (many) {
      EXPECT_LE(calls, 4u);
    } else {
      EXPECT_GE(calls, 5u);
    }
  }
}

TEST(ManyForwarders, ProbeCallsOfAllStayWithinTheSlowStartBudget) {
  // 250 forwarders that have each seen the destination fail: 2 x 0.2 x 3 calls a second may reach it in slow
  // start.
  std::size_t calls = 0;
  for (std::uint64_t seed = 1; seed <= 250; ++seed) {
    Settings s = settings_of_one_among_many();
    s.seed = seed;
    ForwarderHarness b(s, small_destination());
    b.submit(1);
    b.outcome(1, Outcome::connect_failed);
    b.advance(seconds(10));
    b.submit(2);
    calls += calls_answered_with(b, Outcome::connect_failed, seconds(15)).size();
  }
  EXPECT_GT(calls, 250u / 4) << "the return must be detected";
  EXPECT_LT(calls, 250u * 3);
}

TEST(ManyForwarders, AFirstFailureWithoutARecentSuccessIsAnOutage) {
  ForwarderHarness b(settings_of_one_among_many(), small_destination());
  b.submit(1);
  b.outcome(1, Outcome::error);
  b.advance(seconds(2));
  EXPECT_EQ(b.send_count(1), 1u);
}

TEST(ManyForwarders, ARefusalWithAllowanceLeftIsNoOutage) {
  for (double limit : {3.0, 0.0}) {  // an outdated report, or a destination without a limit
    Settings s = settings_of_one_among_many();
    s.reports_allowance = true;
    ForwarderHarness b(s, small_destination());
    b.submit(1);
    b.handle(AttemptEnded{1, 0, 1, Outcome::full, false, Time(0), false, LoadReport{true, 0.9, limit}});
    EXPECT_TRUE(b.logged.empty());
    b.advance(seconds(8));
    EXPECT_EQ(b.send_count(1), 2u) << "retried after the linear backoff and its turn";
  }
}

TEST(ManyForwarders, OneResetIsNoOutageButThreeInARowAre) {
  ForwarderHarness b(settings_of_one_among_many(), small_destination());
  b.submit(1);
  b.outcome(1, Outcome::reset);
  EXPECT_TRUE(b.logged.empty());
  while (b.send_count(1) < 3) {
    b.advance(milliseconds(100));
    if (b.send_count(1) == 2 && b.logged.empty()) b.outcome(1, Outcome::reset);
    ASSERT_LT(b.now, seconds(1060));
    if (b.send_count(1) == 3) b.outcome(1, Outcome::reset);
  }
  EXPECT_FALSE(b.logged.empty());
}

// --- Lists without rates
Settings unlisted_rate_settings() {
  Settings s = settings_of_one_among_many();
  return s;
}
std::vector<EndpointEntry> unlisted_destination() { return {{1, 7, 0, 0, 0, Condition::ready}}; }

TEST(NoListedRate, TheReportedLimitPacesCallsAndItsAbsenceDoesNot) {
  for (double limit : {2.0, 0.0}) {
    Settings s = settings();
    s.reports_allowance = true;
    ForwarderHarness b(s, unlisted_destination());
    for (MessageId id = 1; id <= 40; ++id) b.submit(id);
    std::size_t answered = 0;
    for (int i = 0; i < 100; ++i) {
      for (; answered < b.sent.size(); ++answered) {
        const Send& call = b.sent[answered].first;
        b.handle(AttemptEnded{call.id, 0, 1, Outcome::delivered, true, Time(0), false,
                              LoadReport{true, 0.5, limit}});
      }
      b.advance(milliseconds(50));
    }
    if (limit > 0) {
      EXPECT_LT(b.sent.size(), 15u);
    } else {
      EXPECT_EQ(b.sent.size(), 40u);
    }
  }
}

TEST(NoListedRate, ProbeCallsOfAllDependOnTheTimeSinceTheFirstFailure) {
  // 250 forwarders with one message each at a destination that took 25 a second from them before it failed:
  // in slow start it may get 2 x 0.2 x 25 a second.
  std::size_t calls = 0;
  for (std::uint64_t seed = 1; seed <= 250; ++seed) {
    Settings s = unlisted_rate_settings();
    s.seed = seed;
    ForwarderHarness b(s, unlisted_destination());
    b.submit(1);
    b.outcome(1, Outcome::connect_failed);
    calls += calls_answered_with(b, Outcome::connect_failed, seconds(10)).size();
  }
  EXPECT_GT(calls, 25u) << "the return must be detected";
  EXPECT_LT(calls, 250u);
}

TEST(NoListedRate, AForwarderWithMoreWaitingMessagesProbesMoreOften) {
  Time first[2];
  for (int many : {0, 1}) {
    ForwarderHarness b(unlisted_rate_settings(), unlisted_destination());
    b.submit(1);
    b.outcome(1, Outcome::connect_failed);
    for (MessageId id = 2; id <= (many ? 12u : 1u); ++id) b.submit(id);
    const std::size_t before = b.sent.size();
    const Time from = b.now;
    while (b.sent.size() == before && b.now < from + seconds(60)) b.advance(milliseconds(20));
    first[many] = b.now - from;
  }
  EXPECT_LT(first[1] * 4, first[0]);
}

TEST(ManyForwarders, ARefusedBurstIsNotRetriedAtOnce) {
  // 200 forwarders refused at the same time, with a requested wait of half a second or none, a known limit or
  // none.
  for (Time wait : {Time(0), Time(milliseconds(500))}) {
    for (double rate : {0.0, 3.0}) {
      std::size_t soon = 0, later = 0;
      for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Settings s = unlisted_rate_settings();
        s.seed = seed;
        ForwarderHarness b(s, {{1, 7, 0, 0, rate, Condition::ready}});
        b.advance(seconds(20));
        b.submit(1);
        b.outcome(1, Outcome::full, wait);
        b.advance(milliseconds(2500));
        soon += b.send_count(1) - 1;
        b.advance(seconds(22));
        later += b.send_count(1) - 1;
      }
      EXPECT_LT(soon, 80u);
      EXPECT_GT(later, 120u);
    }
  }
}

TEST(NoListedRate, OneMessageSoonAfterTheStartIsNoHighRate) {
  // 200 forwarders that have just started, each refused its first message, must not retry all at once.
  std::size_t soon = 0, later = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Settings s = unlisted_rate_settings();
    s.seed = seed;
    ForwarderHarness b(s, unlisted_destination());
    b.submit(1);
    b.outcome(1, Outcome::full);
    b.advance(seconds(5));
    soon += b.send_count(1) - 1;
    b.advance(seconds(23));
    later += b.send_count(1) - 1;
  }
  EXPECT_LT(soon, 120u);
  EXPECT_GT(later, 150u);
}

TEST(NoListedRate, ARefusedForwarderWithMuchTrafficTakesTurns) {
  // One of 89 with a message every second: its own rate above half a call a second must not exempt it from
  // taking turns.
  Settings s = unlisted_rate_settings();
  s.forwarders = 89;
  ForwarderHarness b(s, unlisted_destination());
  std::size_t answered = 0;
  for (MessageId id = 1; id <= 60; ++id) {
    b.submit(id);
    b.advance(seconds(1));
    for (; answered < b.sent.size(); ++answered) b.outcome(b.sent[answered].first.id, Outcome::full);
  }
  EXPECT_LT(b.sent.size(), 30u);
}

TEST(ManyForwarders, ResetsDoNotReduceThePaceAndRefusalsDo) {
  std::size_t calls[2];
  for (int refused : {0, 1}) {
    Settings s = settings();
    s.forwarders = 40;
    ForwarderHarness b(s, {{1, 7, 0, 0, 40, Condition::ready}});
    std::size_t answered = 0;
    for (MessageId id = 1; id <= 400; ++id) {
      b.submit(id);
      b.advance(milliseconds(100));
      for (; answered < b.sent.size(); ++answered) {
        const bool unsuccessful = answered % 5 == 4;
        b.outcome(b.sent[answered].first.id, !unsuccessful ? Outcome::delivered
                                             : refused     ? Outcome::full
                                                           : Outcome::reset);
      }
    }
    calls[refused] = b.sent.size();
  }
  EXPECT_GT(calls[0], 400u) << "each lost answer is retried";
  EXPECT_LT(calls[1], calls[0] * 3 / 4);
}

TEST(Slots, AMuchSlowerDestinationHoldsAtMostHalf) {
  Settings s = settings();
  ForwarderHarness b(s, {{1, 7, 0, 0, 50, Condition::ready}, {2, 8, 0, 0, 50, Condition::ready}});
  warm_up(b, 1000, 40);
  for (MessageId id = 1; id <= 8; ++id) {
    b.submit(id, seconds(30), 0, 0, 8);
    b.advance(seconds(4));
    b.outcome(id, Outcome::delivered);
  }
  for (MessageId id = 10; id <= 20; ++id) b.submit(id, seconds(30), 0, 0, 8);
  std::size_t in_flight = 0;
  for (MessageId id = 10; id <= 20; ++id) in_flight += b.send_count(id);
  EXPECT_EQ(in_flight, 4u);
}

TEST(Endpoints, EqualOnesAreChosenInADifferentOrderByEachForwarder) {
  std::size_t lowest = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Settings s = unlisted_rate_settings();
    s.seed = seed;
    ForwarderHarness b(s, {{1, 7, 0, 0, 0, Condition::ready},
                           {2, 7, 0, 0, 0, Condition::ready},
                           {3, 7, 0, 0, 0, Condition::ready}});
    b.submit(1);
    lowest += b.sent.at(0).first.endpoint == 1 ? 1 : 0;
  }
  EXPECT_GT(lowest, 5u);
  EXPECT_LT(lowest, 40u);
}

// --- Connections
TEST(Connections, AFailedConnectClosesRarelyReusedIdleOnesOfItsKind) {
  for (std::uint32_t kind : {0u, 1u}) {
    std::vector<EndpointEntry> list;
    for (EndpointId id = 1; id <= 200; ++id)
      list.push_back({id, id, 0, id <= 2 ? 0u : 1u, 0, Condition::ready});
    ForwarderHarness b(unlisted_rate_settings(), list);
    b.advance(seconds(20));
    b.submit(1, seconds(30), 0, 0, 1);
    b.outcome(1, Outcome::delivered);
    EXPECT_TRUE(b.closed_idle.empty());
    const DestinationId other = kind == 0 ? 2 : 3;
    b.submit(2, seconds(30), 0, 0, other);
    b.outcome(2, Outcome::connect_failed);
    if (kind == 0) {
      EXPECT_EQ(b.closed_idle, std::vector<EndpointId>{1});
    } else {
      EXPECT_TRUE(b.closed_idle.empty()) << "another kind";
    }
  }
}

TEST(Connections, AreKeptAfterAFailedConnectWhereTheyAreReused) {
  ForwarderHarness b(settings(), {{1, 7, 0, 0, 50, Condition::ready}, {2, 8, 0, 0, 50, Condition::ready}});
  warm_up(b, 1000, 20);
  b.submit(1, seconds(30), 0, 0, 8);
  b.outcome(1, Outcome::connect_failed);
  EXPECT_TRUE(b.closed_idle.empty());
}

TEST(Determinism, EqualEventsGiveEqualActions) {
  auto run = [] {
    ForwarderHarness b(settings(), {{1, 7, 0, 0, 9, Condition::ready}, {2, 7, 0, 0, 9, Condition::ready}});
    std::size_t answered = 0;
    for (MessageId id = 1; id <= 60; ++id) {
      b.submit(id);
      b.advance(milliseconds(150));
      for (; answered < b.sent.size(); ++answered) {
        b.outcome(b.sent[answered].first.id, answered % 4 == 3 ? Outcome::error : Outcome::delivered);
      }
    }
    b.advance(seconds(40));
    std::vector<std::pair<MessageId, EndpointId>> trace;
    for (const auto& [s, at] : b.sent) trace.emplace_back(s.id, s.endpoint);
    return trace;
  };
  auto first = run();
  EXPECT_GT(first.size(), 20u);
  EXPECT_EQ(first, run());
}

// --- Connection state reported by the caller
void lose_connection(ForwarderHarness& b, MessageId id, Outcome o, Time idle) {
  b.handle(AttemptEnded{id, 0, 1, o, true, Time(0), false, {}, true, idle});
}

TEST(BrokenConnections, NeitherIdleOnesNorASingleNewOneAreAnOutage) {
  for (const Outcome o : {Outcome::reset, Outcome::connect_failed}) {
    ForwarderHarness b(settings());
    warm_up(b, 1, 8);
    for (MessageId id = 100; id < 112; ++id) {
      b.submit(id);
      ASSERT_EQ(b.send_count(id), 1u);  // at once: no backoff, and the window is not reduced
      lose_connection(b, id, o, milliseconds(20));
    }
    b.advance(seconds(30));
    EXPECT_TRUE(b.logged.empty());
    b.submit(200);
    lose_connection(b, 200, o, Time(0));
    b.submit(201);
    EXPECT_EQ(b.send_count(201), 1u);
  }
  // New connections that break one after the other still count as an outage.
  ForwarderHarness b(settings());
  warm_up(b, 1, 8);
  for (MessageId id = 100; id < 110; ++id) {
    b.submit(id);
    if (b.send_count(id) == 1) lose_connection(b, id, Outcome::reset, Time(0));
  }
  EXPECT_FALSE(b.logged.empty());
}

TEST(BrokenConnections, LongIdleOnesAreNotUsedWhereTheyLoseCalls) {
  ForwarderHarness b(settings());
  MessageId id = 1;
  const auto call = [&](Time idle, bool lost) {
    b.submit(++id);
    b.advance(milliseconds(10));
    if (lost) {
      lose_connection(b, id, Outcome::reset, idle);
    } else {
      b.handle(AttemptEnded{id, 0, 1, Outcome::delivered, true, Time(0), false, {}, false, idle});
    }
    b.advance(seconds(3));
  };
  for (int i = 0; i < 20; ++i) call(milliseconds(i % 2 == 0 ? 10 : 60000), false);
  EXPECT_EQ(b.sent.back().first.max_idle, Time::max());
  for (int i = 0; i < 20; ++i) call(milliseconds(i % 2 == 0 ? 10 : 450), i % 4 == 1);
  b.submit(++id);
  EXPECT_LE(b.sent.back().first.max_idle, milliseconds(450));
  EXPECT_GT(b.sent.back().first.max_idle, milliseconds(100));
  b.advance(seconds(60));  // used again after a while
  b.submit(++id);
  EXPECT_EQ(b.sent.back().first.max_idle, Time::max());
}

// Calls that are never answered, at endpoints that answer others, could hold every slot for seconds each.
// Once that is observed, a call may hold a slot that others need hardly longer than answers take.
TEST(Slots, AreFreedSoonWhereOverdueCallsAreNeverAnswered) {
  Settings s = settings(Effect::unsafe);
  s.slots = 4;
  ForwarderHarness b(s, {{1, 7, 0, 0, 50, Condition::ready}, {2, 8, 0, 0, 50, Condition::ready}});
  warm_up(b, 1, 6, 7);
  warm_up(b, 11, 6, 8);
  MessageId id = 100;
  const auto send = [&](DestinationId destination) {
    b.submit(++id, seconds(30), 0, 0, destination);
    return id;
  };
  const auto answer = [&](MessageId message) {
    b.advance(milliseconds(30));
    ASSERT_EQ(b.send_count(message), 1u);
    b.outcome(message, Outcome::delivered);
  };
  std::vector<Time> held;
  for (int round = 0; round < 15; ++round) {
    // Calls that are never answered hold all slots: one destination answers other calls meanwhile, the other
    // has stalled.
    std::set<MessageId> lost = {send(7), send(7)};
    answer(send(7));
    lost.insert(send(8));
    lost.insert(send(8));
    const MessageId waiting = send(7);
    const Time begun = b.now;
    b.cancelled.clear();
    for (int step = 0; step < 200 && b.cancelled.empty(); ++step) b.advance(milliseconds(20));
    ASSERT_FALSE(b.cancelled.empty());
    held.push_back(b.now - begun);
    b.outcome(b.cancelled.front(), Outcome::cancelled);
    lost.erase(b.cancelled.front());
    answer(waiting);
    for (MessageId m : lost) b.outcome(m, Outcome::cancelled, Time(0), true);
    b.advance(seconds(1));
  }
  EXPECT_GT(held.front(), milliseconds(2500));
  EXPECT_LT(held.back(), milliseconds(1200));
}

// An endpoint at its connection limit refuses and closes a new connection while others work. That is no limit
// on calls: waiting messages are sent as calls end, none beyond them, and one more is tried only after a
// while.
TEST(ConnectionLimit, IsNotTakenForALimitOnCalls) {
  Settings s = settings();
  s.slots = 16;
  ForwarderHarness b(s);
  warm_up(b, 1, 6, 7);
  const std::size_t before = b.sent.size();
  for (MessageId id = 100; id < 110; ++id) b.submit(id);
  ASSERT_EQ(b.sent.size(), before + 7) << "the window";
  b.handle(AttemptEnded{106, 0, 1, Outcome::full, false, Time(0), false, {}, false, Time(0), true});
  b.advance(milliseconds(100));
  EXPECT_EQ(b.sent.size(), before + 7) << "six are in flight, and there is no room for more";
  for (MessageId id = 100; id < 103; ++id) {
    b.outcome(id, Outcome::delivered);
    b.advance(milliseconds(10));
  }
  EXPECT_EQ(b.sent.size(), before + 10) << "each that ends allows one more";
  b.advance(milliseconds(600));
  EXPECT_EQ(b.sent.size(), before + 10);
  b.advance(milliseconds(200));
  EXPECT_EQ(b.sent.size(), before + 11) << "one more is tried";
  EXPECT_EQ(b.send_count(106), 2u) << "the refused one does not back off";
}

// Number of calls sent while every tenth is refused, each on a connection with the given idle time. The
// connection stays open after the answer, or closes as the call asked.
std::size_t calls_while_some_are_refused(Time idle, bool close_requested = false) {
  Settings s = settings();
  s.slots = 16;
  s.max_held = 1000;
  ForwarderHarness b(s, {{1, 7, 0, 0, 1000, Condition::ready}});
  warm_up(b, 1, 6, 7);
  for (MessageId id = 100; id < 600; ++id) b.submit(id);
  for (std::size_t next = b.sent.size() - 1, end = next + 300; next < std::min(end, b.sent.size()); ++next) {
    const MessageId id = b.sent[next].first.id;
    const Outcome outcome = next % 10 == 0 ? Outcome::full : Outcome::delivered;
    const auto attempt = static_cast<std::uint32_t>(
        std::count_if(b.sent.begin(), b.sent.begin() + static_cast<std::ptrdiff_t>(next),
                      [id](const auto& sent) { return sent.first.id == id; }));
    AttemptEnded ended{id,      attempt, 1,  outcome, outcome == Outcome::delivered,
                       Time(0), false,   {}, false,   idle};
    ended.connection_closed = ended.close_requested = close_requested;
    b.handle(ended);
    b.advance(milliseconds(5));
  }
  return b.sent.size();
}

// A refused call whose connection stays open was refused by the limit on calls, on new and reused connections
// alike.
TEST(ConnectionLimit, IsNotTheCauseOfARefusalWhoseConnectionStaysOpen) {
  const std::size_t on_kept_ones = calls_while_some_are_refused(milliseconds(1));
  EXPECT_GT(on_kept_ones, 200u);
  EXPECT_EQ(calls_while_some_are_refused(Time(0)), on_kept_ones);
}

// To a host that does not announce its closes, each call uses a connection of its own and asks for the close.
TEST(ConnectionLimit, IsNotTheCauseOfARefusalWhoseCloseWasRequested) {
  const std::size_t on_kept_ones = calls_while_some_are_refused(milliseconds(1));
  EXPECT_EQ(calls_while_some_are_refused(Time(0), true), on_kept_ones);
}

// One of many forwarders with a few calls each: when a connection is refused for lack of room, idle ones of
// other forwarders occupy it. This forwarder then closes its connections after each call at all endpoints of
// that kind. Pace, window and health do not change.
TEST(ConnectionLimit, NoIdleConnectionIsKeptAfterOneOfItsKindWasRefused) {
  Settings s = settings();
  s.forwarders = 100;
  s.slots = 6;
  ForwarderHarness b(s, {{1, 7, 0, 2, 300, Condition::ready},
                         {2, 8, 0, 2, 300, Condition::ready},
                         {3, 9, 0, 0, 300, Condition::ready}});
  for (const DestinationId d : {7u, 8u, 9u}) warm_up(b, 10 * d, 6, d);
  EXPECT_TRUE(b.closed_idle.empty());
  b.submit(100);
  b.handle(AttemptEnded{100, 0, 1, Outcome::full, false, Time(0), false, {}, true, Time(0)});
  EXPECT_EQ(b.closed_idle, (std::vector<EndpointId>{2})) << "the other of its kind";
  EXPECT_TRUE(b.logged.empty());
  b.advance(milliseconds(900));
  EXPECT_EQ(b.send_count(100), 2u) << "retried soon";
  b.outcome(100, Outcome::delivered);
  EXPECT_EQ(b.closed_idle, (std::vector<EndpointId>{2, 1})) << "not kept";
  b.submit(101, seconds(30), 0, 0, 9);
  b.outcome(101, Outcome::delivered);
  EXPECT_EQ(b.closed_idle.size(), 2u) << "another kind";
}

// Fifty forwarders refused for lack of room at the same time must not retry together, or they would be
// refused again.
TEST(ConnectionLimit, RefusedForwardersDoNotRetryTogether) {
  std::map<Time, int> retries;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Settings s = settings();
    s.forwarders = 100;
    s.seed = seed;
    ForwarderHarness b(s, {{1, 7, 0, 0, 300, Condition::ready}});
    b.submit(1);
    b.handle(AttemptEnded{1, 0, 1, Outcome::full, false, Time(0), false, {}, true, Time(0)});
    b.advance(seconds(3));
    ASSERT_EQ(b.send_count(1), 2u);
    ++retries[b.last_send_time() / 100'000 * 100'000];
  }
  for (const auto& [at, count] : retries) EXPECT_LE(count, 15) << at.count();
}

// A message that ended before its call, or a call held back, uses none of the destination's limit: the next
// one is sent at once, where the pace would have made it wait.
TEST(Pace, ACallThatWasNotSentReturnsItsToken) {
  ForwarderHarness b(settings(), {{1, 7, 0, 0, 4, Condition::ready}});
  warm_up(b, 1, 6, 7);
  for (MessageId id = 100; id < 106; ++id) b.submit(id);
  const std::size_t burst = b.sent.size();
  ASSERT_LT(burst, 6u + 6u) << "the pace holds some back";
  b.outcome(100, Outcome::not_sent, Time(0), true);
  b.advance(milliseconds(10));
  EXPECT_EQ(b.sent.size(), burst + 1);
  b.outcome(101, Outcome::delivered);
  b.advance(milliseconds(10));
  EXPECT_EQ(b.sent.size(), burst + 1);
}

// Calls that are never answered hold the few connections that an endpoint accepts while slots are free. A
// connection that the endpoint closes at once shows the limit.
TEST(ConnectionLimit, OverdueCallsAreCancelledWhileMessagesWait) {
  Settings s = settings();
  s.slots = 100;
  ForwarderHarness b(s);
  warm_up(b, 1, 6, 7);
  for (MessageId id = 100; id < 130; ++id) b.submit(id);
  ASSERT_EQ(b.send_count(106), 1u);
  b.handle(AttemptEnded{106, 0, 1, Outcome::full, false, Time(0), false, {}, false, Time(0), true});
  b.advance(seconds(5));
  EXPECT_FALSE(b.cancelled.empty());
}

// A restored forwarder continues exactly as the saved one does: the same events give the same actions,
// through refusals with and without waits, failures, drains, timer restarts and messages in every state.
TEST(Snapshot, ARestoredForwarderActsAsTheSavedOne) {
  std::size_t compared = 0;
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    Settings s = settings();
    s.forwarders = 1 + seed % 3;
    s.seed = seed;
    s.classes.push_back(s.classes[0]);
    s.classes[1].effect = Effect::unsafe;
    s.classes[0].sequential = seed % 2 == 0;
    ForwarderHarness original(s, {{1, 7, 0, 0, 40, Condition::ready},
                                  {2, 7, 0, 0, 40, Condition::ready},
                                  {3, 8, 0, 2, 0, Condition::ready}});
    std::optional<ForwarderHarness> restored;
    const auto both = [&](const auto& action) {
      action(original);
      if (restored) action(*restored);
    };
    std::vector<std::pair<MessageId, std::uint32_t>> in_flight;  // calls, by message and attempt
    std::map<MessageId, std::uint32_t> attempts;
    std::map<std::pair<MessageId, std::uint32_t>, EndpointId> endpoint_of;
    std::size_t recorded = 0;
    for (unsigned step = 0; step < 400; ++step) {
      if (step >= 40 && step % 5 == 0) {  // restored again at every fifth step
        restored = ForwarderHarness(original);
        restored->forwarder = Forwarder::load(s, original.forwarder.save());
      }
      const unsigned kind = random() % 10;
      if (kind < 4) {
        const MessageId id = step + 1;
        const std::uint32_t message_class = random() % 2;
        const DestinationId destination = 7 + random() % 2;
        const std::uint64_t key = random() % 5;
        both([&](ForwarderHarness& b) { b.submit(id, seconds(20), message_class, key, destination); });
      } else if (kind < 8 && !in_flight.empty()) {
        const std::size_t i = random() % in_flight.size();
        const auto [id, attempt] = in_flight[i];
        in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(i));
        const Outcome outcomes[] = {Outcome::delivered, Outcome::delivered, Outcome::full,
                                    Outcome::timeout,   Outcome::reset,     Outcome::connect_failed};
        const Outcome outcome = outcomes[random() % 6];
        const Time wait =
            outcome == Outcome::full && random() % 2 == 0 ? milliseconds(random() % 4000) : Time(0);
        const EndpointId endpoint = endpoint_of.at({id, attempt});
        both([&, id = id, attempt = attempt](ForwarderHarness& b) {
          b.handle(AttemptEnded{id,
                                attempt,
                                endpoint,
                                outcome,
                                outcome == Outcome::delivered,
                                wait,
                                false,
                                {},
                                false,
                                Time(0)});
        });
      } else if (kind == 8) {
        const EndpointId id = 1 + random() % 3;
        const Condition condition = random() % 3 == 0 ? Condition::draining : Condition::ready;
        const DestinationId destination = id == 3 ? 8 : 7;
        both([&](ForwarderHarness& b) {
          b.handle(ListChanged{
              false, false, {{id, destination, 0, id == 3 ? 2u : 0u, id == 3 ? 0.0 : 40.0, condition}}});
        });
      } else {
        const Time span = milliseconds(random() % 800);
        both([&](ForwarderHarness& b) { b.advance(span); });
      }
      for (; recorded < original.sent.size(); ++recorded) {
        const Send& send = original.sent[recorded].first;
        in_flight.emplace_back(send.id, attempts[send.id]++);
        endpoint_of[in_flight.back()] = send.endpoint;
      }
      if (!restored) continue;
      ++compared;
      ASSERT_EQ(original.sent.size(), restored->sent.size()) << seed << " " << step;
      for (std::size_t i = 0; i < original.sent.size(); ++i) {
        ASSERT_EQ(original.sent[i].first.id, restored->sent[i].first.id);
        ASSERT_EQ(original.sent[i].first.endpoint, restored->sent[i].first.endpoint);
        ASSERT_EQ(original.sent[i].first.timeout, restored->sent[i].first.timeout);
        ASSERT_EQ(original.sent[i].second, restored->sent[i].second);
      }
      ASSERT_EQ(original.timers, restored->timers) << seed << " " << step;
      ASSERT_EQ(original.failed, restored->failed);
      ASSERT_EQ(original.cancelled, restored->cancelled);
      ASSERT_EQ(original.closed_idle, restored->closed_idle);
      ASSERT_EQ(original.refused.size(), restored->refused.size());
      ASSERT_EQ(original.forwarder.record_count(), restored->forwarder.record_count());
    }
  }
  EXPECT_EQ(compared, 60u * 360u);
}

TEST(Snapshot, RejectsBytesThatItCannotRead) {
  const Settings s = settings();
  ForwarderHarness b(s);
  b.submit(1);
  const std::string bytes = b.forwarder.save();
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_THROW(Forwarder::load(s, std::string_view(bytes).substr(0, size)), SnapshotError) << size;
  }
  std::string other_version = bytes;
  other_version[0] = static_cast<char>(other_version[0] + 1);  // the version
  EXPECT_THROW(Forwarder::load(s, other_version), SnapshotError);
  ForwarderHarness c(s);
  c.handle(MessageArrived{1, 0, 0, 7, 0, seconds(9)});
  Settings fewer = s;
  fewer.classes.clear();
  EXPECT_THROW(Forwarder::load(fewer, c.forwarder.save()), SnapshotError);
}

// Records of removed endpoints and finished keys must not accumulate.
TEST(LongRunningProcess, RemovesStaleRecords) {
  Settings s = settings();
  s.classes[0].sequential = true;
  ForwarderHarness b(s);
  for (EndpointId id = 2; id < 4000; ++id) {
    b.submit(id, seconds(30), 0, id);
    b.handle(ListChanged{id % 2 == 0, false, {{id, 7, 0, 0, 50, Condition::ready}}});
    if (id % 2 == 1) b.handle(ListChanged{false, false, {{id - 1, 7, 0, 0, 50, Condition::gone}}});
    b.advance(milliseconds(100));
    const std::vector<std::pair<Send, Time>> sent_calls = std::exchange(b.sent, {});
    for (const auto& [sent, at] : sent_calls) {
      b.handle(AttemptEnded{
          sent.id, 0, sent.endpoint, Outcome::delivered, true, Time(0), false, {}, false, Time(-1)});
    }
    b.advance(milliseconds(100));
    ASSERT_LE(b.forwarder.record_count(), 60u) << id;
  }
}

}  // namespace

// The reducer alone: inputs in, effects out, no clock and no sockets.
#include "reducer.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>

#include "net_fixture.hpp"
#include "retry_backoff.hpp"

namespace fennellane {
namespace {

using starlinghook::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kNote = 0, kPay = 1;

class Fixture : public testing::Test {
 protected:
  explicit Fixture(int max_open = 50)
      : config(parse_config(test::config_json({.known = {}, .max_open = max_open}))),
        reducer(config.boot.settings, config.limits, 1, counters) {
    give(Started{});
    list({{"s-1", "127.0.0.1:9"}});
  }
  const std::vector<Effect>& give(const Input& input) {
    effects = reducer.reduce(now, input);
    for (const Effect& e : effects) {
      if (const auto* t = std::get_if<SetTimer>(&e)) timer = t->at;
      if (const auto* c = std::get_if<StartCall>(&e)) call = *c;
    }
    return effects;
  }
  void list(const std::vector<test::HostLine>& hosts, bool full = true) {
    give(ClusterChanged{parse_hosts(test::list_json(hosts, 1, full), config.boot), false});
  }
  MessageSubmitted offer(const std::string& id, std::uint32_t message_class = kNote) const {
    MessageSubmitted o;
    o.request = 77;
    o.id = id;
    o.message_class = message_class;
    o.destination = 7;
    o.time_left = seconds(20);
    o.body = std::make_shared<const std::string>("body");
    return o;
  }
  void end_call(Outcome outcome, Time told_wait = Time(0), bool over = false) {
    now += milliseconds(20);
    give(CallEnded{call.stream, call.attempt, outcome, over, told_wait, false, {}, false, Time(0)});
  }
  void pass(Time span) {  // with the timers on the way
    const Time until = now + span;
    std::vector<Effect> all;
    while (timer <= until) {
      now = std::max(now, timer);
      timer = Time::max();
      give(TimerExpired{});
      all.insert(all.end(), effects.begin(), effects.end());
    }
    now = until;
    effects = std::move(all);
  }
  template <class E>
  std::size_t count() const {
    std::size_t n = 0;
    for (const Effect& e : effects) n += std::holds_alternative<E>(e) ? 1 : 0;
    return n;
  }
  template <class E>
  const E& the() const {
    for (const Effect& e : effects) {
      if (const E* found = std::get_if<E>(&e)) return *found;
    }
    throw std::runtime_error("no such effect");
  }
  template <class E>
  std::size_t place() const {
    for (std::size_t i = 0; i < effects.size(); ++i) {
      if (std::holds_alternative<E>(effects[i])) return i;
    }
    return effects.size();
  }

  Config config;
  Counters counters;
  Reducer reducer;
  Time now = seconds(100);
  Time timer = Time::max();
  std::vector<Effect> effects;
  StartCall call;
};
class ReducerTest : public Fixture {};
class SmallReducerTest : public Fixture {
 protected:
  SmallReducerTest() : Fixture(3) {}
};

// Guards the promise: nothing is answered before it is in the journal, nothing is sent before the attempt is.
TEST_F(ReducerTest, JournalsThenAnswersThenSends) {
  give(offer("a"));
  EXPECT_LT(place<RecordAccepted>(), place<SendAnswer>());
  EXPECT_LT(place<SendAnswer>(), place<RecordAttempt>());
  EXPECT_LT(place<RecordAttempt>(), place<StartCall>());
  EXPECT_EQ(the<SendAnswer>().reply, AdmissionReply::accepted);
  EXPECT_EQ(the<SendAnswer>().request, 77u);
  EXPECT_EQ(call.id, "a");
  EXPECT_EQ(call.address.text(), "127.0.0.1:9");
}

TEST_F(ReducerTest, EndsADeliveredMessageOnce) {
  give(offer("a"));
  end_call(Outcome::delivered);
  EXPECT_EQ(count<RecordEnded>(), 1u);
  EXPECT_EQ(count<PostNotice>(), 0u);
  EXPECT_EQ(reducer.streams(), 0u);
  end_call(Outcome::delivered);  // a second report of the same call
  EXPECT_TRUE(effects.empty());
  EXPECT_EQ(counters.delivered, 1u);
}

// Guards against taking a message on twice when a client repeats a request whose answer it did not hear.
TEST_F(ReducerTest, AnswersARepeatedIdWithoutTakingItOnAgain) {
  for (int i = 0; i < 2; ++i) {
    give(offer("a"));
    EXPECT_EQ(the<SendAnswer>().reply, AdmissionReply::accepted);
    EXPECT_EQ(count<RecordAccepted>(), i == 0 ? 1u : 0u);
  }
  end_call(Outcome::delivered);
  give(offer("a"));
  EXPECT_EQ(effects.size(), 1u);
  EXPECT_EQ(the<SendAnswer>().reply, AdmissionReply::accepted);
  EXPECT_EQ(counters.duplicates, 2u);
}

TEST_F(ReducerTest, RefusesWhatTheJournalHasNoRoomFor) {
  MessageSubmitted o = offer("a");
  o.journal_has_room = false;
  give(o);
  EXPECT_EQ(the<SendAnswer>().reply, AdmissionReply::refused);
  EXPECT_EQ(the<SendAnswer>().retry_after, Time(0));  // these settings allow no advice
  EXPECT_EQ(count<RecordAccepted>(), 0u);
}

TEST_F(SmallReducerTest, HoldsNoMoreThanItsRoom) {
  list({});  // nowhere to send to
  std::size_t refused = 0;
  for (int i = 0; i < 20; ++i) {
    give(offer(std::to_string(i)));
    refused += the<SendAnswer>().reply == AdmissionReply::refused ? 1 : 0;
  }
  EXPECT_GT(refused + counters.deferred, 16u);
  EXPECT_LE(reducer.streams(), config.limits.max_held_and_unnoticed);
}

// Guards the rule on duplicates: one that may have run is not sent again where its class forbids it.
class DoubtTest : public Fixture, public testing::WithParamInterface<Outcome> {};
TEST_P(DoubtTest, NeverRepeatsWhatMayHaveRunAndMustNot) {
  give(offer("p", kPay));
  end_call(GetParam());
  EXPECT_TRUE(the<RecordOutcome>().may_have_run);
  EXPECT_EQ(the<PostNotice>().verdict, Verdict::undeliverable);
  EXPECT_LT(place<RecordGivenUp>(), place<PostNotice>());
  EXPECT_EQ(count<StartCall>(), 0u);
  pass(seconds(30));
  EXPECT_EQ(count<StartCall>(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Outcomes, DoubtTest,
                         testing::Values(Outcome::error, Outcome::timeout, Outcome::reset,
                                         Outcome::cancelled));

TEST_F(ReducerTest, TriesAgainWhatNeverRan) {
  give(offer("p", kPay));
  end_call(Outcome::full, milliseconds(300));
  EXPECT_FALSE(the<RecordOutcome>().may_have_run);
  pass(milliseconds(299));
  EXPECT_EQ(count<StartCall>(), 0u);  // told to wait
  pass(seconds(5));
  EXPECT_EQ(count<StartCall>(), 1u);
  EXPECT_EQ(call.attempt, 1u);
}

// Guards against a lost notice: the end is recorded only when the platform has it.
TEST_F(ReducerTest, RecordsAnUndeliveredEndOnlyAfterItsNotice) {
  give(offer("p", kPay));
  end_call(Outcome::error);
  EXPECT_EQ(count<RecordEnded>(), 0u);
  EXPECT_EQ(reducer.streams(), 1u);
  give(NoticeAccepted{the<PostNotice>().stream});
  EXPECT_EQ(count<RecordEnded>(), 1u);
  EXPECT_EQ(reducer.streams(), 0u);
}

TEST_F(ReducerTest, OwesNothingForAMessageThatIsOver) {
  give(offer("a"));
  end_call(Outcome::not_sent, Time(0), true);
  EXPECT_EQ(count<RecordEnded>(), 1u);
  EXPECT_EQ(count<PostNotice>(), 0u);
  EXPECT_EQ(counters.withdrawn, 1u);
}

TEST_F(ReducerTest, GivesUpAtOnceWhenTheTimeIsUp) {
  list({{"s-1", "127.0.0.1:9", 7, "draining"}});
  give(offer("a"));
  EXPECT_EQ(count<StartCall>(), 0u);
  pass(seconds(20) + milliseconds(1));
  EXPECT_EQ(count<PostNotice>(), 1u);
}

TEST_F(ReducerTest, SendsNothingToAHostThatDrainsOrIsMissingFromAWholeList) {
  list({{"s-1", "127.0.0.1:9", 7, "draining"}}, false);
  EXPECT_EQ(count<RetireHost>(), 1u);
  give(offer("a"));
  EXPECT_EQ(count<StartCall>(), 0u);
  list({{"s-1", "127.0.0.1:9"}});
  EXPECT_EQ(count<StartCall>(), 1u);
  end_call(Outcome::delivered);
  list({{"s-2", "127.0.0.1:10"}});
  give(offer("b"));
  EXPECT_EQ(call.address.text(), "127.0.0.1:10");
}

// Guards against a call whose connection comes up only after a wait or a drain was told.
TEST_F(ReducerTest, HoldsBackCallsNotYetWrittenWhenToldToWaitOrDrain) {
  give(offer("a"));
  end_call(Outcome::delivered);
  give(offer("b"));
  const StartCall first = call;
  pass(milliseconds(100));
  give(offer("c"));
  ASSERT_NE(call.stream, first.stream);
  end_call(Outcome::full, seconds(1));
  ASSERT_EQ(count<CancelUnsentCall>(), 1u);
  EXPECT_EQ(the<CancelUnsentCall>().stream, first.stream);
  call = first;
  end_call(Outcome::not_sent);
  pass(milliseconds(900));
  EXPECT_EQ(count<StartCall>(), 0u);  // the wait holds for it too
  pass(seconds(3));
  EXPECT_GE(count<StartCall>(), 1u);
  list({});
  EXPECT_GE(count<CancelUnsentCall>(), 1u);  // gone
}

// Guards the memory of a long day: hosts come and go under new ids, some at the address of one that has gone,
// and no id is seen twice. A call that outlives its host still ends.
TEST_F(ReducerTest, ForgetsHostsAndIdsThatAreOver) {
  std::size_t most = 0, early = 0;
  for (int i = 0; i < 20000; ++i) {
    if (i % 4 == 0) {
      const std::string id = "s-new" + std::to_string(i),
                        address = "127.0.0.1:" + std::to_string(9 + i / 4 % 3);
      list({{id, address}}, i % 8 == 0);
      if (i % 8 != 0) list({{"s-new" + std::to_string(i - 4), "127.0.0.1:9", 7, "gone"}}, false);
    }
    give(offer("m" + std::to_string(i)));
    if (count<StartCall>() > 0) {
      if (i % 16 == 0) list({{"s-other" + std::to_string(i), "127.0.0.1:8"}});  // its host is gone meanwhile
      end_call(Outcome::delivered);
    }
    now += milliseconds(80);
    pass(milliseconds(20));
    most = std::max(most, reducer.record_count());
    if (i == 10000) early = most;
  }
  EXPECT_EQ(counters.delivered, 20000u);
  EXPECT_EQ(most, early);  // no growth in the second half
  EXPECT_LE(reducer.hosts(), 3u);
  EXPECT_LE(most, 2 * config.limits.max_ended_ids + 64);
}

// A hundred that failed in one moment: their next tries are spread, and grow apart until there is room for
// all.
TEST(RetryPause, SpreadsThoseWhoFailedTogether) {
  std::map<Time::rep, int> per_second;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    RetryBackoff pause(std::chrono::milliseconds(500), std::chrono::seconds(8), seed);
    Time at{};
    while (at < std::chrono::seconds(60)) {
      const Time next = pause.next_delay();
      ASSERT_GE(next, std::chrono::milliseconds(250));
      ASSERT_LE(next, std::chrono::seconds(12));
      at += next;
      ++per_second[at / std::chrono::seconds(1)];
    }
    pause.reset();
    EXPECT_LE(pause.next_delay(), std::chrono::milliseconds(750));
  }
  for (Time::rep s = 10; s < 60; ++s) EXPECT_LE(per_second[s], 30) << "in second " << s;
}

TEST_F(ReducerTest, RetiresTheConnectionsOfAHostThatMovesOrIsGone) {
  list({{"s-1", "127.0.0.1:10"}}, false);
  EXPECT_EQ(count<RetireHost>(), 1u);
  list({{"s-1", "127.0.0.1:10"}}, false);
  EXPECT_EQ(count<RetireHost>(), 0u);
  give(offer("a"));
  const HostId before = call.host;
  list({{"s-2", "127.0.0.1:10"}});
  EXPECT_EQ(the<RetireHost>().host, before);
  end_call(Outcome::delivered);
  give(offer("b"));
  EXPECT_NE(call.host, before);  // at the same address, but another host
}

// Guards against holding to its deadline what can never be delivered; until discovery has told its list, a
// client may only be too early.
TEST_F(ReducerTest, TurnsAwayADestinationThatDoesNotExist) {
  MessageSubmitted o = offer("a");
  o.destination = 999;
  give(o);
  EXPECT_EQ(the<SendAnswer>().reply, AdmissionReply::unknown_destination);
  EXPECT_EQ(count<RecordAccepted>(), 0u);
  list({{"s-9", "127.0.0.1:9", 999}}, false);
  list({{"s-9", "127.0.0.1:9", 999, "gone"}}, false);
  give(offer("b"));
  o.id = "c";
  give(o);
  EXPECT_EQ(the<SendAnswer>().reply, AdmissionReply::accepted);  // it did exist, and may again
  Counters fresh_counters;
  Reducer fresh(config.boot.settings, config.limits, 1, fresh_counters);
  fresh.reduce(now, Started{});
  fresh.reduce(now,
               ClusterChanged{parse_hosts(test::list_json({{"s-1", "127.0.0.1:9"}}), config.boot), true});
  effects = fresh.reduce(now, o);
  EXPECT_EQ(the<SendAnswer>().reply, AdmissionReply::refused);
}

TEST_F(ReducerTest, EndsARestoredMessageOfAClassThatIsNoMore) {
  MessageRestored r;
  r.stream = 5;
  r.entry.id = "a";
  r.entry.message_class = 9;
  r.time_left = seconds(10);
  give(r);
  EXPECT_EQ(the<PostNotice>().verdict, Verdict::undeliverable);
}

// --- Restarts: a crash after each record.
struct RestartCase {
  const char* what;
  std::uint32_t message_class, attempts;
  bool out, may_have_run;
  std::optional<Verdict> verdict;
  bool sent_again;
  std::optional<Verdict> notice;
};
class RestartTest : public Fixture, public testing::WithParamInterface<RestartCase> {};

TEST_P(RestartTest, GoesOnAsTheRecordsAllow) {
  const RestartCase& c = GetParam();
  MessageRestored r;
  r.stream = 5;
  r.entry.id = "a";
  r.entry.message_class = c.message_class;
  r.entry.destination = 7;
  r.entry.attempts = c.attempts;
  r.entry.in_flight = c.out;
  r.entry.may_have_run = c.may_have_run;
  r.entry.verdict = c.verdict;
  r.time_left = seconds(10);
  give(r);
  EXPECT_EQ(count<StartCall>(), c.sent_again ? 1u : 0u);
  EXPECT_EQ(call.attempt, c.sent_again ? c.attempts : 0u);
  EXPECT_EQ(count<PostNotice>(), c.notice ? 1u : 0u);
  if (c.notice) {
    EXPECT_EQ(the<PostNotice>().verdict, *c.notice);
  }
  EXPECT_EQ(count<RecordAccepted>(), 0u);
  if (c.verdict) {
    EXPECT_EQ(count<RecordGivenUp>(), 0u);
  }
}

INSTANTIATE_TEST_SUITE_P(
    AfterEachRecord, RestartTest,
    testing::Values(RestartCase{"taken", kPay, 0, false, false, {}, true, {}},
                    RestartCase{"started", kPay, 1, true, false, {}, false, Verdict::undeliverable},
                    RestartCase{"started, may be repeated", kNote, 1, true, false, {}, true, {}},
                    RestartCase{"proven not run", kPay, 1, false, false, {}, true, {}},
                    RestartCase{"may have run", kPay, 1, false, true, {}, false, Verdict::undeliverable},
                    RestartCase{"all attempts made", kNote, 12, false, true, {}, false, Verdict::deferred},
                    RestartCase{"given up", kNote, 2, false, true, Verdict::deferred, false,
                                Verdict::deferred},
                    RestartCase{"given up for good", kPay, 1, false, true, Verdict::undeliverable, false,
                                Verdict::undeliverable}));

TEST_F(ReducerTest, EndsARestoredMessageWhoseTimeIsUp) {
  MessageRestored r;
  r.stream = 5;
  r.entry.id = "a";
  r.entry.destination = 7;
  give(r);
  EXPECT_EQ(count<PostNotice>(), 1u);
  EXPECT_EQ(count<StartCall>(), 0u);
}

// Guards against a message without an end: a 200 that is written when its time is up delivers nothing.
TEST_F(ReducerTest, TellsThePlatformOfAMessageAnsweredAsItsTimeEnds) {
  for (const Time before : {Time(milliseconds(300)), Time(milliseconds(10)), Time(0)}) {
    give(offer("a" + std::to_string(before.count()), kPay));
    now += seconds(20) - milliseconds(20) - before;  // end_call adds 20 ms
    end_call(Outcome::delivered);
    const bool in_time = before == Time(milliseconds(300));
    EXPECT_EQ(count<PostNotice>(), in_time ? 0u : 1u) << before.count();
    EXPECT_EQ(count<RecordEnded>(), in_time ? 1u : 0u) << before.count();
    if (in_time) continue;
    EXPECT_EQ(the<PostNotice>().verdict, Verdict::undeliverable);
    EXPECT_EQ(the<RecordGivenUp>().reason, starlinghook::GiveUpReason::answered_late);
    give(NoticeAccepted{call.stream});
    EXPECT_EQ(count<RecordEnded>(), 1u);
  }
  EXPECT_EQ(counters.delivered, 1u);
  EXPECT_EQ(counters.undeliverable, 2u);
}

// All that a restart finds is known before the first is sent, so that the one worth most goes first.
TEST_F(SmallReducerTest, SendsTheRestoredMessageThatIsWorthMostFirst) {
  MessageRestored r;
  r.entry.destination = 7;
  r.time_left = seconds(10);
  r.more_follow = true;
  for (const std::uint32_t message_class : {kNote, kPay}) {
    r.stream = 5 + message_class;
    r.entry.id = "m" + std::to_string(message_class);
    r.entry.message_class = message_class;
    give(r);
    EXPECT_EQ(count<StartCall>(), 0u);
  }
  give(TimerExpired{});
  ASSERT_EQ(count<StartCall>(), 1u);  // the window begins at one call
  EXPECT_EQ(the<StartCall>().id, "m1");
}

// Guards against a call that the end of the process would cut off, whose effect nobody would know.
TEST_F(ReducerTest, StartsNoUnsafeCallThatMayOutlastTheEnd) {
  give(StopRequested{now + milliseconds(900)});
  give(offer("p", kPay));
  EXPECT_EQ(the<SendAnswer>().reply, AdmissionReply::accepted);
  EXPECT_EQ(count<StartCall>(), 0u);
  give(offer("a", kNote));
  EXPECT_EQ(count<StartCall>(), 1u);
}

// What an effect says, for comparison.
std::string text_of(const Effect& effect) {
  struct Text {
    static std::string of(StreamId stream, const std::string& more = "") {
      return std::to_string(stream) + " " + more;
    }
    static std::string us(Time t) { return std::to_string(t.count()); }
    std::string operator()(const RecordAccepted& e) const {
      return of(e.stream, e.entry.id + us(e.time_left));
    }
    std::string operator()(const RecordAttempt& e) const { return of(e.stream, std::to_string(e.zone)); }
    std::string operator()(const RecordOutcome& e) const {
      return of(e.stream, e.may_have_run ? "doubt" : "");
    }
    std::string operator()(const RecordGivenUp& e) const {
      return of(e.stream, std::to_string(static_cast<int>(e.verdict)) + us(e.retry_after));
    }
    std::string operator()(const RecordEnded& e) const { return of(e.stream); }
    std::string operator()(const SendAnswer& e) const {
      return of(e.request, std::to_string(static_cast<int>(e.reply)) + us(e.retry_after));
    }
    std::string operator()(const StartCall& e) const {
      return of(e.stream, std::to_string(e.attempt) + " " + std::to_string(e.host) + " " + e.address.text() +
                              " " + e.id + *e.body + us(e.timeout) + " " + us(e.max_idle));
    }
    std::string operator()(const CancelCall& e) const { return of(e.stream, std::to_string(e.attempt)); }
    std::string operator()(const CancelUnsentCall& e) const {
      return of(e.stream, std::to_string(e.attempt));
    }
    std::string operator()(const CloseIdleConnections& e) const { return of(e.host); }
    std::string operator()(const RetireHost& e) const { return of(e.host); }
    std::string operator()(const PostNotice& e) const { return of(e.stream, e.id + us(e.retry_after)); }
    std::string operator()(const SetTimer& e) const { return us(e.at); }
    std::string operator()(const LogMessage& e) const { return e.text; }
    std::string operator()(const FleetEffect& e) const { return std::to_string(e.effect.index()); }
  };
  return std::to_string(effect.index()) + " " + std::visit(Text{}, effect);
}

// A reducer that is loaded goes on exactly as the saved one does: the same inputs bring the same effects.
TEST(ReducerMemory, ALoadedReducerActsAsTheSavedOne) {
  const Config config = parse_config(test::config_json());
  std::size_t effects = 0;
  for (unsigned seed = 0; seed < 40; ++seed) {
    std::mt19937 random(seed);
    Counters counters, others;
    Reducer one(config.boot.settings, config.limits, 1, counters);
    std::unique_ptr<Reducer> other;
    Time now = seconds(100), timer = Time::max();
    std::vector<StartCall> out;
    std::vector<StreamId> notices;
    std::map<StreamId, Body> bodies;
    std::string wrong;
    const auto give = [&](const Input& input) {
      const std::vector<Effect> first = one.reduce(now, input);
      std::vector<Effect> second;
      if (other) second = other->reduce(now, input);
      if (other && first.size() != second.size())
        wrong = "so many effects are not " + std::to_string(second.size());
      for (std::size_t i = 0; i < first.size(); ++i) {
        ++effects;
        if (other && wrong.empty() && text_of(first[i]) != text_of(second[i])) {
          wrong = text_of(first[i]) + " is not " + text_of(second[i]);
        }
        if (const auto* t = std::get_if<SetTimer>(&first[i])) timer = t->at;
        if (const auto* r = std::get_if<RecordAccepted>(&first[i])) bodies[r->stream] = r->entry.body;
        if (const auto* c = std::get_if<StartCall>(&first[i])) out.push_back(*c);
        if (const auto* n = std::get_if<PostNotice>(&first[i])) notices.push_back(n->stream);
      }
    };
    give(Started{});
    const auto hosts = [&](const std::string& state, bool full) {
      const std::vector<test::HostLine> lines = {{"s-1", "127.0.0.1:9", 7, state}, {"s-2", "127.0.0.1:8", 8}};
      give(ClusterChanged{parse_hosts(test::list_json(lines, 1, full), config.boot), false});
    };
    hosts("ready", true);
    for (int step = 0; step < 300 && wrong.empty(); ++step) {
      if (step >= 30 && step % 5 == 0) {
        other = std::make_unique<Reducer>(config.boot.settings, config.limits, 1, others);
        other->load(config.boot.settings, one.save(), [&](StreamId id) { return bodies[id]; });
        ASSERT_EQ(other->record_count(), one.record_count());
      }
      const unsigned kind = random() % 10;
      if (kind < 4) {
        MessageSubmitted o;
        o.request = static_cast<RequestHandle>(step);
        o.id = "m" + std::to_string(random() % 200);
        o.message_class = random() % 2;
        o.destination = 7 + random() % 3;
        o.time_left = seconds(1 + random() % 20);
        o.body = std::make_shared<const std::string>("body of " + o.id);
        give(o);
      } else if (kind < 7 && !out.empty()) {
        const std::size_t i = random() % out.size();
        const StartCall call = out[i];
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
        const Outcome outcomes[] = {Outcome::delivered, Outcome::delivered, Outcome::full, Outcome::reset};
        const Outcome outcome = outcomes[random() % 4];
        const Time wait = outcome == Outcome::full && random() % 2 == 0 ? seconds(1) : Time(0);
        give(CallEnded{call.stream, call.attempt, outcome, false, wait, false, {}, false, Time(0)});
      } else if (kind == 7) {
        hosts(std::vector<std::string>{"ready", "draining", "gone"}[random() % 3], random() % 4 == 0);
      } else if (kind == 8 && !notices.empty()) {
        const StreamId stream = notices.front();
        notices.erase(notices.begin());
        give(NoticeAccepted{stream});
      } else {
        for (const Time until = now + milliseconds(random() % 500); now < until;) {
          now = std::min(until, std::max(now + Time(1), timer));
          if (now < timer) continue;
          timer = Time::max();
          give(TimerExpired{});
        }
      }
    }
    ASSERT_EQ(wrong, "") << seed;
  }
  EXPECT_GT(effects, 10000u);
}

TEST(ReducerMemory, RefusesWhatItCannotRead) {
  const Config config = parse_config(test::config_json());
  Counters counters;
  Reducer one(config.boot.settings, config.limits, 1, counters);
  one.reduce(seconds(1), Started{});
  const std::string bytes = one.save();
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    Reducer other(config.boot.settings, config.limits, 1, counters);
    EXPECT_THROW(other.load(config.boot.settings, std::string_view(bytes).substr(0, size),
                            [](StreamId) { return Body(); }),
                 starlinghook::SnapshotError)
        << size;
  }
}

}  // namespace
}  // namespace fennellane

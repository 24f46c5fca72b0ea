// Tests of the reducer alone: checks the effects of inputs, without clock or sockets.
#include "reducer.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>

#include "net_fixture.hpp"
#include "reducer_fixture.hpp"
#include "retry_backoff.hpp"

namespace fennellane {
namespace {

using namespace test;

class ReducerTest : public ReducerFixture {};
class SmallReducerTest : public ReducerFixture {
 protected:
  SmallReducerTest() : ReducerFixture(3) {}
};

// A message must be in the journal before it is answered, and an attempt before its call is sent.
TEST_F(ReducerTest, RecordsThenAnswersThenSends) {
  handle(make_message("a"));
  EXPECT_LT(index_of<RecordAccepted>(), index_of<SendAnswer>());
  EXPECT_LT(index_of<SendAnswer>(), index_of<RecordAttempt>());
  EXPECT_LT(index_of<RecordAttempt>(), index_of<StartCall>());
  EXPECT_EQ(first_effect<SendAnswer>().reply, AdmissionReply::accepted);
  EXPECT_EQ(first_effect<SendAnswer>().request, 77u);
  EXPECT_EQ(call.id, "a");
  EXPECT_EQ(call.address.text(), "127.0.0.1:9");
}

TEST_F(ReducerTest, EndsADeliveredMessageOnce) {
  handle(make_message("a"));
  end_call(Outcome::delivered);
  EXPECT_EQ(count<RecordEnded>(), 1u);
  EXPECT_EQ(count<PostNotice>(), 0u);
  EXPECT_EQ(reducer.streams(), 0u);
  end_call(Outcome::delivered);  // a second report of the same call
  EXPECT_TRUE(effects.empty());
  EXPECT_EQ(counters.delivered, 1u);
}

// A client that got no answer repeats its request; the message must not be accepted twice.
TEST_F(ReducerTest, AnswersADuplicateWithoutAcceptingItAgain) {
  for (int i = 0; i < 2; ++i) {
    handle(make_message("a"));
    EXPECT_EQ(first_effect<SendAnswer>().reply, AdmissionReply::accepted);
    EXPECT_EQ(count<RecordAccepted>(), i == 0 ? 1u : 0u);
  }
  end_call(Outcome::delivered);
  handle(make_message("a"));
  EXPECT_EQ(effects.size(), 1u);
  EXPECT_EQ(first_effect<SendAnswer>().reply, AdmissionReply::accepted);
  EXPECT_EQ(counters.duplicates, 2u);
}

TEST_F(ReducerTest, RefusesAMessageThatDoesNotFitTheJournal) {
  MessageSubmitted o = make_message("a");
  o.journal_has_room = false;
  handle(o);
  EXPECT_EQ(first_effect<SendAnswer>().reply, AdmissionReply::refused);
  EXPECT_EQ(first_effect<SendAnswer>().retry_after, Time(0));  // these settings allow no Retry-After
  EXPECT_EQ(count<RecordAccepted>(), 0u);
}

TEST_F(SmallReducerTest, HoldsNoMoreThanTheLimit) {
  set_hosts({});  // no host to send to
  std::size_t refused = 0;
  for (int i = 0; i < 20; ++i) {
    handle(make_message(std::to_string(i)));
    refused += first_effect<SendAnswer>().reply == AdmissionReply::refused ? 1 : 0;
  }
  EXPECT_GT(refused + counters.deferred, 16u);
  EXPECT_LE(reducer.streams(), config.limits.max_held_and_unnoticed);
}

// A message that may have run must not be sent again if its class forbids repeats.
class UncertainOutcomeTest : public ReducerFixture, public testing::WithParamInterface<Outcome> {};
TEST_P(UncertainOutcomeTest, DoesNotResendAnUnrepeatableMessageThatMayHaveRun) {
  handle(make_message("p", kPay));
  end_call(GetParam());
  EXPECT_TRUE(first_effect<RecordOutcome>().may_have_run);
  EXPECT_EQ(first_effect<PostNotice>().verdict, Verdict::undeliverable);
  EXPECT_LT(index_of<RecordGivenUp>(), index_of<PostNotice>());
  EXPECT_EQ(count<StartCall>(), 0u);
  advance(seconds(30));
  EXPECT_EQ(count<StartCall>(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Outcomes, UncertainOutcomeTest,
                         testing::Values(Outcome::error, Outcome::timeout, Outcome::reset,
                                         Outcome::cancelled));

TEST_F(ReducerTest, RetriesACallThatDidNotRun) {
  handle(make_message("p", kPay));
  end_call(Outcome::full, milliseconds(300));
  EXPECT_FALSE(first_effect<RecordOutcome>().may_have_run);
  advance(milliseconds(299));
  EXPECT_EQ(count<StartCall>(), 0u);  // the host asked to wait
  advance(seconds(5));
  EXPECT_EQ(count<StartCall>(), 1u);
  EXPECT_EQ(call.attempt, 1u);
}

// An undelivered end must be recorded only after its notice was accepted, or a crash in between loses the
// notice.
TEST_F(ReducerTest, RecordsAnUndeliveredEndOnlyAfterItsNotice) {
  handle(make_message("p", kPay));
  end_call(Outcome::error);
  EXPECT_EQ(count<RecordEnded>(), 0u);
  EXPECT_EQ(reducer.streams(), 1u);
  handle(NoticeAccepted{first_effect<PostNotice>().stream});
  EXPECT_EQ(count<RecordEnded>(), 1u);
  EXPECT_EQ(reducer.streams(), 0u);
}

TEST_F(ReducerTest, PostsNoNoticeForAMessageThatEndedElsewhere) {
  handle(make_message("a"));
  end_call(Outcome::not_sent, Time(0), true);
  EXPECT_EQ(count<RecordEnded>(), 1u);
  EXPECT_EQ(count<PostNotice>(), 0u);
  EXPECT_EQ(counters.withdrawn, 1u);
}

TEST_F(ReducerTest, GivesUpAtTheDeadline) {
  set_hosts({{"s-1", "127.0.0.1:9", 7, "draining"}});
  handle(make_message("a"));
  EXPECT_EQ(count<StartCall>(), 0u);
  advance(seconds(20) + milliseconds(1));
  EXPECT_EQ(count<PostNotice>(), 1u);
}

TEST_F(ReducerTest, SendsNothingToAHostThatDrainsOrIsMissingFromAFullList) {
  set_hosts({{"s-1", "127.0.0.1:9", 7, "draining"}}, false);
  EXPECT_EQ(count<RetireHost>(), 1u);
  handle(make_message("a"));
  EXPECT_EQ(count<StartCall>(), 0u);
  set_hosts({{"s-1", "127.0.0.1:9"}});
  EXPECT_EQ(count<StartCall>(), 1u);
  end_call(Outcome::delivered);
  set_hosts({{"s-2", "127.0.0.1:10"}});
  handle(make_message("b"));
  EXPECT_EQ(call.address.text(), "127.0.0.1:10");
}

// A call whose connection is established only after the host asked to wait or began to drain must not be
// sent.
TEST_F(ReducerTest, CancelsUnsentCallsWhenAHostAsksToWaitOrDrains) {
  handle(make_message("a"));
  end_call(Outcome::delivered);
  handle(make_message("b"));
  const StartCall first = call;
  advance(milliseconds(100));
  handle(make_message("c"));
  ASSERT_NE(call.stream, first.stream);
  end_call(Outcome::full, seconds(1));
  ASSERT_EQ(count<CancelUnsentCall>(), 1u);
  EXPECT_EQ(first_effect<CancelUnsentCall>().stream, first.stream);
  call = first;
  end_call(Outcome::not_sent);
  advance(milliseconds(900));
  EXPECT_EQ(count<StartCall>(), 0u);  // the requested wait applies to it as well
  advance(seconds(3));
  EXPECT_GE(count<StartCall>(), 1u);
  set_hosts({});
  EXPECT_GE(count<CancelUnsentCall>(), 1u);  // the host is gone
}

// Memory must not grow while hosts come and go under new ids, some at the address of a removed one, and no
// message id repeats. A call that outlives its host still ends.
TEST_F(ReducerTest, DeletesRemovedHostsAndEndedIds) {
  std::size_t max_records = 0, early = 0;
  for (int i = 0; i < 20000; ++i) {
    if (i % 4 == 0) {
      const std::string id = "s-new" + std::to_string(i),
                        address = "127.0.0.1:" + std::to_string(9 + i / 4 % 3);
      set_hosts({{id, address}}, i % 8 == 0);
      if (i % 8 != 0) set_hosts({{"s-new" + std::to_string(i - 4), "127.0.0.1:9", 7, "gone"}}, false);
    }
    handle(make_message("m" + std::to_string(i)));
    if (count<StartCall>() > 0) {
      // removes the host of the call in flight
      if (i % 16 == 0) set_hosts({{"s-other" + std::to_string(i), "127.0.0.1:8"}});
      end_call(Outcome::delivered);
    }
    now += milliseconds(80);
    advance(milliseconds(20));
    max_records = std::max(max_records, reducer.record_count());
    if (i == 10000) early = max_records;
  }
  EXPECT_EQ(counters.delivered, 20000u);
  EXPECT_EQ(max_records, early);  // no growth in the second half
  EXPECT_LE(reducer.hosts(), 3u);
  EXPECT_LE(max_records, 2 * config.limits.max_ended_ids + 64);
}

// A hundred clients that failed at the same moment must spread their retries, at a falling rate.
TEST(RetryBackoff, SpreadsClientsThatFailedTogether) {
  std::map<Time::rep, int> per_second;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    RetryBackoff backoff(std::chrono::milliseconds(500), std::chrono::seconds(8), seed);
    Time at{};
    while (at < std::chrono::seconds(60)) {
      const Time next = backoff.next_delay();
      ASSERT_GE(next, std::chrono::milliseconds(250));
      ASSERT_LE(next, std::chrono::seconds(12));
      at += next;
      ++per_second[at / std::chrono::seconds(1)];
    }
    backoff.reset();
    EXPECT_LE(backoff.next_delay(), std::chrono::milliseconds(750));
  }
  for (Time::rep s = 10; s < 60; ++s) EXPECT_LE(per_second[s], 30) << "in second " << s;
}

TEST_F(ReducerTest, RetiresTheConnectionsOfAHostThatMovesOrIsRemoved) {
  set_hosts({{"s-1", "127.0.0.1:10"}}, false);
  EXPECT_EQ(count<RetireHost>(), 1u);
  set_hosts({{"s-1", "127.0.0.1:10"}}, false);
  EXPECT_EQ(count<RetireHost>(), 0u);
  handle(make_message("a"));
  const HostId before = call.host;
  set_hosts({{"s-2", "127.0.0.1:10"}});
  EXPECT_EQ(first_effect<RetireHost>().host, before);
  end_call(Outcome::delivered);
  handle(make_message("b"));
  EXPECT_NE(call.host, before);  // the same address, but another host
}

// Guards against calls that reach a process, or a destination, other than the one they were started for
// (incident c2eb73, picture d).
TEST_F(ReducerTest, CancelsUnsentCallsToAHostThatMoved) {
  const HostLine first{"s-1", "127.0.0.1:9"};
  const auto with_start = [&](HostLine host, std::uint64_t started_ms) {
    host.started_ms = started_ms;
    return host;
  };
  const std::vector<HostLine> moves = {
      {"s-1", "127.0.0.1:10"}, {"s-1", "127.0.0.1:9", 8}, with_start(first, 1700000000123)};
  for (const HostLine& moved : moves) {
    set_hosts({first});
    handle(make_message("m" + moved.address + std::to_string(moved.cell + moved.started_ms)));
    ASSERT_EQ(count<StartCall>(), 1u);
    set_hosts({moved}, false);
    ASSERT_EQ(count<CancelUnsentCall>(), 1u);
    EXPECT_EQ(first_effect<CancelUnsentCall>().stream, call.stream);
    EXPECT_EQ(count<RetireHost>(), 1u);
    set_hosts({moved}, false);
    EXPECT_EQ(count<CancelUnsentCall>(), 0u) << "it is where it was";
    set_hosts({first}, false);
    end_call(Outcome::not_sent);
    advance(milliseconds(100));
    end_call(Outcome::delivered);
  }
}

// A message to an unknown destination must be rejected instead of being held until its deadline; before
// discovery has sent its list, the client is refused and may retry.
TEST_F(ReducerTest, RejectsAnUnknownDestination) {
  MessageSubmitted o = make_message("a");
  o.destination = 999;
  handle(o);
  EXPECT_EQ(first_effect<SendAnswer>().reply, AdmissionReply::unknown_destination);
  EXPECT_EQ(count<RecordAccepted>(), 0u);
  set_hosts({{"s-9", "127.0.0.1:9", 999}}, false);
  set_hosts({{"s-9", "127.0.0.1:9", 999, "gone"}}, false);
  handle(make_message("b"));
  o.id = "c";
  handle(o);
  EXPECT_EQ(first_effect<SendAnswer>().reply,
            AdmissionReply::accepted);  // it existed before and may exist again
  Counters fresh_counters;
  Reducer fresh(config.boot.settings, config.limits, 1, fresh_counters);
  fresh.reduce(now, Started{});
  fresh.reduce(now,
               ClusterChanged{parse_hosts(test::list_json({{"s-1", "127.0.0.1:9"}}), config.boot), true});
  effects = fresh.reduce(now, o);
  EXPECT_EQ(first_effect<SendAnswer>().reply, AdmissionReply::refused);
}

TEST_F(ReducerTest, GivesUpARestoredMessageOfARemovedClass) {
  MessageRestored r;
  r.stream = 5;
  r.entry.id = "a";
  r.entry.message_class = 9;
  r.time_left = seconds(10);
  handle(r);
  EXPECT_EQ(first_effect<PostNotice>().verdict, Verdict::undeliverable);
}

// --- Restarts: a crash after each record.
struct RestartCase {
  const char* name;
  std::uint32_t message_class, attempts;
  bool in_flight, may_have_run;
  std::optional<Verdict> verdict;
  bool sent_again;
  std::optional<Verdict> notice;
};
class RestartTest : public ReducerFixture, public testing::WithParamInterface<RestartCase> {};

TEST_P(RestartTest, ContinuesAccordingToItsRecords) {
  const RestartCase& c = GetParam();
  MessageRestored r;
  r.stream = 5;
  r.entry.id = "a";
  r.entry.message_class = c.message_class;
  r.entry.destination = 7;
  r.entry.attempts = c.attempts;
  r.entry.in_flight = c.in_flight;
  r.entry.may_have_run = c.may_have_run;
  r.entry.verdict = c.verdict;
  r.time_left = seconds(10);
  handle(r);
  EXPECT_EQ(count<StartCall>(), c.sent_again ? 1u : 0u);
  EXPECT_EQ(call.attempt, c.sent_again ? c.attempts : 0u);
  EXPECT_EQ(count<PostNotice>(), c.notice ? 1u : 0u);
  if (c.notice) {
    EXPECT_EQ(first_effect<PostNotice>().verdict, *c.notice);
  }
  EXPECT_EQ(count<RecordAccepted>(), 0u);
  if (c.verdict) {
    EXPECT_EQ(count<RecordGivenUp>(), 0u);
  }
}

INSTANTIATE_TEST_SUITE_P(
    AfterEachRecord, RestartTest,
    testing::Values(RestartCase{"accepted", kPay, 0, false, false, {}, true, {}},
                    RestartCase{"started", kPay, 1, true, false, {}, false, Verdict::undeliverable},
                    RestartCase{"started, may be repeated", kNote, 1, true, false, {}, true, {}},
                    RestartCase{"proven not run", kPay, 1, false, false, {}, true, {}},
                    RestartCase{"may have run", kPay, 1, false, true, {}, false, Verdict::undeliverable},
                    RestartCase{"all attempts made", kNote, 12, false, true, {}, false, Verdict::deferred},
                    RestartCase{"given up", kNote, 2, false, true, Verdict::deferred, false,
                                Verdict::deferred},
                    RestartCase{"given up as undeliverable", kPay, 1, false, true, Verdict::undeliverable,
                                false, Verdict::undeliverable}));

TEST_F(ReducerTest, GivesUpARestoredMessagePastItsDeadline) {
  MessageRestored r;
  r.stream = 5;
  r.entry.id = "a";
  r.entry.destination = 7;
  handle(r);
  EXPECT_EQ(count<PostNotice>(), 1u);
  EXPECT_EQ(count<StartCall>(), 0u);
}

// A 200 written as the message's deadline passes does not count as delivered; without a notice the message
// would have no final result.
TEST_F(ReducerTest, PostsANoticeForAMessageAnsweredAtItsDeadline) {
  for (const Time before : {Time(milliseconds(300)), Time(milliseconds(10)), Time(0)}) {
    handle(make_message("a" + std::to_string(before.count()), kPay));
    now += seconds(20) - milliseconds(20) - before;  // end_call adds 20 ms
    end_call(Outcome::delivered);
    const bool in_time = before == Time(milliseconds(300));
    EXPECT_EQ(count<PostNotice>(), in_time ? 0u : 1u) << before.count();
    EXPECT_EQ(count<RecordEnded>(), in_time ? 1u : 0u) << before.count();
    if (in_time) continue;
    EXPECT_EQ(first_effect<PostNotice>().verdict, Verdict::undeliverable);
    EXPECT_EQ(first_effect<RecordGivenUp>().reason, starlinghook::GiveUpReason::answered_late);
    handle(NoticeAccepted{call.stream});
    EXPECT_EQ(count<RecordEnded>(), 1u);
  }
  EXPECT_EQ(counters.delivered, 1u);
  EXPECT_EQ(counters.undeliverable, 2u);
}

// All messages found at a restart must be known before the first is sent, so that the most valuable goes
// first.
TEST_F(SmallReducerTest, SendsTheMostValuableRestoredMessageFirst) {
  MessageRestored r;
  r.entry.destination = 7;
  r.time_left = seconds(10);
  r.more_follow = true;
  for (const std::uint32_t message_class : {kNote, kPay}) {
    r.stream = 5 + message_class;
    r.entry.id = "m" + std::to_string(message_class);
    r.entry.message_class = message_class;
    handle(r);
    EXPECT_EQ(count<StartCall>(), 0u);
  }
  handle(TimerExpired{});
  ASSERT_EQ(count<StartCall>(), 1u);  // the congestion window starts at one call
  EXPECT_EQ(first_effect<StartCall>().id, "m1");
}

// A call cut off by the end of the process would have an unknown result.
TEST_F(ReducerTest, StartsNoUnsafeCallThatMayOutlastTheProcess) {
  handle(StopRequested{now + milliseconds(900)});
  handle(make_message("p", kPay));
  EXPECT_EQ(first_effect<SendAnswer>().reply, AdmissionReply::accepted);
  EXPECT_EQ(count<StartCall>(), 0u);
  handle(make_message("a", kNote));
  EXPECT_EQ(count<StartCall>(), 1u);
}

// An effect as text, for comparison.
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
      return of(e.stream, e.may_have_run ? "may have run" : "");
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

// A loaded reducer must behave exactly like the saved one: the same inputs produce the same effects.
TEST(ReducerSnapshot, ALoadedReducerBehavesLikeTheSavedOne) {
  const Config config = parse_config(test::config_json());
  std::size_t effects = 0;
  for (unsigned seed = 0; seed < 40; ++seed) {
    std::mt19937 random(seed);
    Counters counters, others;
    Reducer one(config.boot.settings, config.limits, 1, counters);
    std::unique_ptr<Reducer> other;
    Time now = seconds(100), timer = Time::max();
    std::vector<StartCall> calls;
    std::vector<StreamId> notices;
    std::map<StreamId, Body> bodies;
    std::string difference;
    const auto handle = [&](const Input& input) {
      const std::vector<Effect> first = one.reduce(now, input);
      std::vector<Effect> second;
      if (other) second = other->reduce(now, input);
      if (other && first.size() != second.size())
        difference = std::to_string(first.size()) + " effects, not " + std::to_string(second.size());
      for (std::size_t i = 0; i < first.size(); ++i) {
        ++effects;
        if (other && difference.empty() && text_of(first[i]) != text_of(second[i])) {
          difference = text_of(first[i]) + " is not " + text_of(second[i]);
        }
        if (const auto* t = std::get_if<SetTimer>(&first[i])) timer = t->at;
        if (const auto* r = std::get_if<RecordAccepted>(&first[i])) bodies[r->stream] = r->entry.body;
        if (const auto* c = std::get_if<StartCall>(&first[i])) calls.push_back(*c);
        if (const auto* n = std::get_if<PostNotice>(&first[i])) notices.push_back(n->stream);
      }
    };
    handle(Started{});
    const auto hosts = [&](const std::string& state, bool full) {
      const std::vector<test::HostLine> lines = {{"s-1", "127.0.0.1:9", 7, state}, {"s-2", "127.0.0.1:8", 8}};
      handle(ClusterChanged{parse_hosts(test::list_json(lines, 1, full), config.boot), false});
    };
    hosts("ready", true);
    for (int step = 0; step < 300 && difference.empty(); ++step) {
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
        handle(o);
      } else if (kind < 7 && !calls.empty()) {
        const std::size_t i = random() % calls.size();
        const StartCall call = calls[i];
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(i));
        const Outcome outcomes[] = {Outcome::delivered, Outcome::delivered, Outcome::full, Outcome::reset};
        const Outcome outcome = outcomes[random() % 4];
        const Time wait = outcome == Outcome::full && random() % 2 == 0 ? seconds(1) : Time(0);
        handle(CallEnded{call.stream, call.attempt, outcome, false, wait, false, {}, false, Time(0)});
      } else if (kind == 7) {
        hosts(std::vector<std::string>{"ready", "draining", "gone"}[random() % 3], random() % 4 == 0);
      } else if (kind == 8 && !notices.empty()) {
        const StreamId stream = notices.front();
        notices.erase(notices.begin());
        handle(NoticeAccepted{stream});
      } else {
        for (const Time until = now + milliseconds(random() % 500); now < until;) {
          now = std::min(until, std::max(now + Time(1), timer));
          if (now < timer) continue;
          timer = Time::max();
          handle(TimerExpired{});
        }
      }
    }
    ASSERT_EQ(difference, "") << seed;
  }
  EXPECT_GT(effects, 10000u);
}

TEST(ReducerSnapshot, RejectsTruncatedBytes) {
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

// The fleet's cap on endpoints out: what the reports amount to, a relay's part, the arbiter's, and several
// relays as processes with faults between them.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <map>

#include "arbiter.hpp"
#include "ejection_agent.hpp"
#include "fleet_lab.hpp"
#include "reducer.hpp"
#include "reporter.hpp"

namespace fennellane::ejection {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <class E, class Effect>
const E* find(const std::vector<Effect>& effects) {
  for (const Effect& e : effects)
    if (const auto* found = std::get_if<E>(&e)) return found;
  return nullptr;
}

DegradedEndpoint ill(const std::string& host, double bad, DegradationKind state = DegradationKind::failing) {
  return {host, state, bad, false};
}
const std::vector<Listed> kFour = {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}};
constexpr Cap kHalf{50, 100, 0, 2};

TEST(Weigh, LetsTheWorstRestAsFarAsThereIsRoom) {
  const Report r{"r1", 1, {ill("a", 0.5), ill("b", 0.9), ill("c", 0.7)}};
  const Verdict v = weigh(kHalf, kFour, {r, r}, {});
  EXPECT_EQ(v.out, (std::vector<std::string>{"b", "c"}));
  EXPECT_EQ(v.closed, std::vector<std::uint32_t>{1});
  EXPECT_EQ(v.failing, 3u);
  EXPECT_EQ(exempt_endpoints(v, kFour), (std::vector<std::string>{"a", "d"}));
  // One that may rest already goes before one that is hardly worse, and not before one that is much worse.
  EXPECT_EQ(weigh(kHalf, kFour, {r, r}, {"a"}).out, (std::vector<std::string>{"b", "c"}));
  const Report close{"r1", 1, {ill("a", 0.65), ill("b", 0.9), ill("c", 0.7)}};
  EXPECT_EQ(weigh(kHalf, kFour, {close, close}, {"a", "b"}).out, (std::vector<std::string>{"a", "b"}));
}

TEST(Weigh, CountsWhatDrainsAndWhatIsColdWithoutTakingItBack) {
  std::vector<Listed> listed = kFour;
  listed[3].ready = false;  // in maintenance
  const Report r{"r1", 1, {ill("a", 0.9), ill("b", 0, DegradationKind::slow_start)}};
  const Verdict v = weigh(kHalf, listed, {r, r}, {});
  EXPECT_TRUE(v.out.empty());
  EXPECT_EQ(v.closed, std::vector<std::uint32_t>{1});
  EXPECT_EQ(exempt_endpoints(v, listed), (std::vector<std::string>{"a", "b", "c", "d"}));
  EXPECT_EQ(std::tuple(v.failing, v.reduced, v.drained, v.listed), std::tuple(1u, 1u, 1u, 4u));
}

TEST(Weigh, NeedsEnoughVoicesAndLeavesAtLeastOnePlace) {
  const Report one{"r1", 1, {ill("a", 1)}}, none{"r2", 1, {}};
  EXPECT_EQ(weigh(kHalf, kFour, {one, none, none}, {}).failing, 0u);  // a relay cut off alone
  EXPECT_EQ(weigh(kHalf, kFour, {one}, {}).out, std::vector<std::string>{"a"});
  const Cap tenth{50, 100, 10, 1};
  std::vector<Report> thirty(30, none);
  thirty[0] = thirty[1] = one;
  EXPECT_EQ(weigh(tenth, kFour, thirty, {}).failing, 0u);
  thirty[2] = one;
  EXPECT_EQ(weigh(tenth, kFour, thirty, {}).failing, 1u);
  // The only endpoint of a destination may rest.
  const Verdict v = weigh(kHalf, {{"a", 1}}, {one, one}, {});
  EXPECT_EQ(v.out, std::vector<std::string>{"a"});
  EXPECT_TRUE(exempt_endpoints(v, {{"a", 1}}).empty());
}

RC_GTEST_PROP(WeighProperty, NeverLetsMoreRestThanTheCaps, ()) {
  Cap cap;
  cap.percent = *rc::gen::inRange(0u, 101u);
  cap.all_percent = *rc::gen::inRange(0u, 101u);
  cap.voices = *rc::gen::inRange(1u, 5u);
  std::vector<Listed> listed;
  const int hosts = *rc::gen::inRange(1, 25);
  for (int i = 0; i < hosts; ++i)
    listed.push_back({"h" + std::to_string(i), *rc::gen::inRange(0u, 5u), *rc::gen::inRange(0, 6) > 0});
  std::vector<Report> reports(*rc::gen::inRange<std::size_t>(0, 8));
  for (Report& r : reports) {
    for (const Listed& host : listed)
      if (const int state = *rc::gen::inRange(0, 5); state < 3)
        r.degraded_endpoints.push_back(
            ill(host.host, *rc::gen::inRange(0, 100) / 100.0, static_cast<DegradationKind>(state)));
  }
  const Verdict v = weigh(cap, listed, reports, {});
  std::map<std::uint32_t, std::size_t> size, out;
  for (const Listed& host : listed) {
    ++size[host.destination];
    const bool rests = std::count(v.out.begin(), v.out.end(), host.host) > 0;
    RC_ASSERT(!rests || host.ready);
    out[host.destination] += rests ? 1 : 0;
  }
  for (const auto& [destination, n] : out)
    RC_ASSERT(n <= std::max<std::size_t>(1, cap.percent * size[destination] / 100));
  RC_ASSERT(v.out.size() <= std::max<std::size_t>(1, cap.all_percent * listed.size() / 100));
  // Where nothing is closed, all that fail may rest, and nothing is kept.
  if (!v.binds()) {
    RC_ASSERT(v.out.size() == v.failing);
    RC_ASSERT(exempt_endpoints(v, listed).empty());
  }
  for (const std::string& host : exempt_endpoints(v, listed))
    RC_ASSERT(std::count(v.out.begin(), v.out.end(), host) == 0);
}

TEST(Values, GoToTheStoreAndBack) {
  Verdict v{7, 3, true, {1, 4}, {"a", "b"}, 3, 1, 2, 9, 12};
  const auto read = read_verdict(verdict_json(v));
  ASSERT_TRUE(read && read->agrees_with(v));
  EXPECT_EQ(std::tuple(read->token, read->heartbeat, read->failing, read->reduced, read->drained,
                       read->listed, read->relays),
            std::tuple(7u, 3u, 3u, 1u, 2u, 9u, 12u));
  for (const char* bad :
       {"", "[]", "{}", R"({"token":-1,"closed":[],"out":[]})", R"({"token":1,"closed":["x"],"out":[]})"})
    EXPECT_FALSE(read_verdict(bad)) << bad;
  std::vector<StoredReport> reports;
  EXPECT_FALSE(read_reports("{}", reports));
  // A value that is no report is left out; the second is {"relay":"r1","beat":2,"ailing":[]}.
  EXPECT_TRUE(read_reports(
      R"([{"Value":"e30=","ModifyIndex":3},{"Value":"eyJyZWxheSI6InIxIiwiYmVhdCI6MiwiYWlsaW5nIjpbXX0=","ModifyIndex":5}])",
      reports));
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(std::tuple(reports[0].report.relay, reports[0].report.heartbeat, reports[0].index),
            std::tuple("r1", 2u, 5u));
}

class ReporterTest : public testing::Test {
 protected:
  static ReporterSettings settings() {
    ReporterSettings s;
    s.relay = "r1";
    s.max_endpoints = 2;
    return s;
  }
  Verdict verdict(Token token, std::uint64_t beat, std::vector<std::uint32_t> closed = {1}) {
    Verdict v;
    v.token = token;
    v.heartbeat = beat;
    v.closed = std::move(closed);
    return v;
  }
  bool caps(Time now, std::optional<Verdict> v, bool afresh = false) {
    reporter.handle(now, VerdictSeen{std::move(v), afresh});
    return reporter.cap().has_value();
  }
  Reporter reporter{settings()};
};

TEST_F(ReporterTest, WritesWhatChangesAndNowAndThen) {
  const auto writes = [&](Time now, std::vector<DegradedEndpoint> ailing) {
    const auto effects = reporter.handle(now, CheckTimerExpired{{{}, std::move(ailing)}});
    EXPECT_EQ(find<SetCheckTimer>(effects)->at, now + seconds(2));
    return find<WriteReport>(effects) != nullptr;
  };
  EXPECT_TRUE(writes(seconds(0), {}));
  EXPECT_FALSE(writes(seconds(2), {}));
  EXPECT_TRUE(writes(seconds(4), {ill("a", 0.5)}));
  EXPECT_FALSE(writes(seconds(6), {ill("a", 0.6)}));
  EXPECT_TRUE(writes(seconds(8), {ill("a", 0.6, DegradationKind::slow_start)}));
  EXPECT_FALSE(writes(seconds(12), {ill("a", 0.6, DegradationKind::slow_start)}));
  EXPECT_TRUE(
      writes(seconds(13), {ill("a", 0.6, DegradationKind::slow_start)}));  // so that it counts as alive
  const auto effects = reporter.handle(
      seconds(14),
      CheckTimerExpired{{{}, {ill("a", 0.1, DegradationKind::slow_start), ill("b", 0.2), ill("c", 0.9)}}});
  EXPECT_EQ(find<WriteReport>(effects)->report.degraded_endpoints.size(), 2u);
  for (const DegradedEndpoint& a : find<WriteReport>(effects)->report.degraded_endpoints)
    EXPECT_NE(a.host, "a");
}

TEST_F(ReporterTest, HeedsAVerdictOnlyWhileItIsRenewed) {
  EXPECT_FALSE(caps(seconds(0), verdict(5, 1)));  // may have lain there for days
  EXPECT_FALSE(caps(seconds(1), verdict(5, 1)));
  EXPECT_TRUE(caps(seconds(2), verdict(5, 2)));
  reporter.handle(seconds(16), CheckTimerExpired{});
  EXPECT_TRUE(reporter.cap());
  const auto effects = reporter.handle(seconds(17), CheckTimerExpired{});
  EXPECT_FALSE(reporter.cap());
  EXPECT_FALSE(find<CapEndpoints>(effects)->verdict);
  EXPECT_TRUE(caps(seconds(18), verdict(5, 3)));
  EXPECT_FALSE(caps(seconds(19), verdict(5, 4, {})));  // room again
}

TEST_F(ReporterTest, AnOldArbitersWordIsNotHeeded) {
  caps(seconds(0), verdict(5, 1));
  EXPECT_TRUE(caps(seconds(1), verdict(9, 1, {2})));
  reporter.handle(seconds(2), VerdictSeen{verdict(5, 2, {}), false});
  ASSERT_TRUE(reporter.cap());
  EXPECT_EQ(reporter.cap()->closed, std::vector<std::uint32_t>{2});
  // But where Consul has lost its state, tokens begin anew.
  caps(seconds(3), verdict(1, 1, {3}), true);
  EXPECT_TRUE(caps(seconds(4), verdict(1, 2, {3})));
  EXPECT_EQ(reporter.cap()->closed, std::vector<std::uint32_t>{3});
  EXPECT_FALSE(caps(seconds(5), std::nullopt));
}

class ArbiterTest : public testing::Test {
 protected:
  static ArbiterSettings settings() {
    ArbiterSettings s;
    s.cap = kHalf;
    return s;
  }
  std::optional<WriteVerdict> reads(Time now, std::vector<StoredReport> reports) {
    const auto effects = arbiter.handle(now, ReportsRead{true, std::move(reports), kFour});
    const auto* write = find<WriteVerdict>(effects);
    if (!write) return std::nullopt;
    const WriteVerdict copy = *write;
    arbiter.handle(now, VerdictWritten{how});
    return copy;
  }
  static StoredReport sick(const std::string& relay, std::uint64_t beat) {
    return {{relay, beat, {ill("a", 0.9), ill("b", 0.8), ill("c", 0.7)}}, beat};
  }
  Arbiter arbiter{settings()};
  lease::WriteResult how = lease::WriteResult::accepted;
};

TEST_F(ArbiterTest, WritesItsFirstVerdictWhatChangesAndRenewsWhatBinds) {
  arbiter.activate(seconds(0), 3, "s");
  const auto first = reads(seconds(0), {});
  ASSERT_TRUE(first);  // what another has left is not in force any more
  EXPECT_FALSE(first->verdict.binds());
  EXPECT_FALSE(reads(seconds(2), {}));
  const auto second = reads(seconds(4), {sick("r1", 1), sick("r2", 1)});
  ASSERT_TRUE(second);
  EXPECT_EQ(second->verdict.out, (std::vector<std::string>{"a", "b"}));
  EXPECT_GT(second->verdict.heartbeat, first->verdict.heartbeat);
  EXPECT_EQ(std::pair(second->verdict.token, second->session), std::pair(Token(3), std::string("s")));
  EXPECT_FALSE(reads(seconds(6), {sick("r1", 2), sick("r2", 2)}));
  EXPECT_TRUE(reads(seconds(9), {sick("r1", 3), sick("r2", 3)}));  // renewed
}

TEST_F(ArbiterTest, ReportsThatAreNotRenewedDoNotCountAndGoInTheEnd) {
  arbiter.activate(seconds(0), 3, "s");
  EXPECT_TRUE(reads(seconds(0), {sick("r1", 1), sick("r2", 1)})->verdict.binds());
  const auto later = reads(seconds(15), {sick("r1", 2), sick("r2", 1)});
  ASSERT_TRUE(later);
  EXPECT_EQ(later->verdict.relays, 1u);
  EXPECT_TRUE(later->forget.empty());
  const auto last = reads(seconds(150), {sick("r1", 3), sick("r2", 1)});
  ASSERT_TRUE(last);
  EXPECT_EQ(last->forget, (std::vector<std::pair<std::string, std::uint64_t>>{{"r2", 1}}));
}

TEST_F(ArbiterTest, AVerdictThatWasNotTakenIsWrittenAgainAndNoneOnceTheRoleIsLost) {
  arbiter.activate(seconds(0), 3, "s");
  how = lease::WriteResult::refused;
  EXPECT_TRUE(reads(seconds(0), {}));
  EXPECT_TRUE(reads(seconds(2), {}));
  arbiter.deactivate();
  EXPECT_FALSE(reads(seconds(4), {sick("r1", 1), sick("r2", 1)}));
  EXPECT_TRUE(arbiter.handle(seconds(4), ReadTimerExpired{}).empty());
}

}  // namespace
}  // namespace fennellane::ejection

namespace fennellane {
namespace {

using namespace harness;
using standin::happens;
using std::chrono::seconds;

LabSettings ill_fleet(std::size_t relays) {
  LabSettings settings;
  settings.program = FENNELLANE_PROGRAM;
  settings.relays = relays;
  add_ejection(settings, 3, 50);
  return settings;
}

// Messages to all relays until it comes about.
template <class Condition>
bool while_offering(FleetLab& lab, Condition condition) {
  std::size_t turn = 0;
  return happens([&] {
    lab.offer_to(turn++ % lab.size());
    return condition();
  });
}
std::size_t capped(FleetLab& lab) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < lab.size(); ++i)
    n += lab.relay(i).logged("cap on endpoints out is reached") > 0;
  return n;
}

TEST(Ejections, AllRelaysHeedOneCapAndTheCommandShowsIt) {
  FleetLab lab(ill_fleet(3));
  lab.start();
  ASSERT_TRUE(while_offering(lab, [&] { return capped(lab) == 3; })) << lab.relay(0).log();
  for (std::size_t i = 0; i < 3; ++i) lab.to_partner(i).set(PathFault::refuse);
  const std::string command = std::string(FENNELLANE_PROGRAM) + " ejections --settings " +
                              lab.relay(0).folder() + "/settings.sexp 2>&1";
  std::string shown;
  const auto shown_now = [&] {
    FILE* const pipe = ::popen(command.c_str(), "r");
    shown.assign(4000, 0);
    shown.resize(std::fread(shown.data(), 1, shown.size(), pipe));
    EXPECT_EQ(::pclose(pipe), 0);
    return shown;
  };
  const bool all = while_offering(lab, [&] { return shown_now().find("5 fail") != std::string::npos; });
  EXPECT_TRUE(all) << shown;
  EXPECT_NE(shown.find("cap reached at 0 1"), std::string::npos) << shown;
  std::size_t rest = 0;
  for (std::size_t at = 0; (at = shown.find("may rest: ", at)) != std::string::npos; ++at) ++rest;
  EXPECT_TRUE(while_offering(lab, [&] { return lab.resting() == 3; }));
  EXPECT_EQ(rest, 3u) << shown;  // two of four, and the only one of the other destination
  // What comes back is found, and the cap lifted.
  for (std::size_t i = 0; i < 3; ++i) lab.to_partner(i).set(PathFault::none);
  EXPECT_TRUE(while_offering(
      lab, [&] { return lab.offer_to(0) && shown_now().find("5 fail") == std::string::npos; }));
  EXPECT_EQ(breach(lab.history()).find("verdict"), std::string::npos);
}

TEST(Ejections, ARelayCutFromConsulGoesOnAlone) {
  FleetLab lab(ill_fleet(3));
  lab.start();
  ASSERT_TRUE(while_offering(lab, [&] { return capped(lab) == 3; })) << lab.relay(0).log();
  lab.to_consul(0).set(PathFault::hold);
  EXPECT_TRUE(while_offering(lab, [&] {
    return lab.relay(0).logged("cap on endpoints out is lifted: no verdict is heard any more") > 0;
  })) << lab.relay(0).log();
  lab.to_consul(0).set(PathFault::none);
  EXPECT_TRUE(while_offering(lab, [&] { return lab.relay(0).logged("cap on endpoints out is reached") > 1; }))
      << lab.relay(0).log();
}

TEST(Ejections, AnArbiterThatIsPausedIsFollowedAndItsLateVerdictRefused) {
  FleetLab lab(ill_fleet(3));
  lab.start();
  ASSERT_TRUE(while_offering(lab, [&] { return capped(lab) == 3; })) << lab.relay(0).log();
  const std::size_t old = lab.holder();
  ASSERT_LT(old, lab.size());
  lab.relay(old).signal(SIGSTOP);
  EXPECT_TRUE(lab.waits_for_holder_other_than(old));
  const std::size_t next = lab.holder();
  lab.relay(old).signal(SIGCONT);
  // The next one's verdict is heeded by the old arbiter, too.
  ASSERT_TRUE(while_offering(lab, [&] { return lab.relay(old).logged("acts no more") > 0; }));
  ASSERT_TRUE(while_offering(lab, [&] { return capped(lab) == 3 && lab.holder() == next; }));
  ASSERT_TRUE(happens([&] { return lab.history().held == 0; }));
  EXPECT_EQ(breach(lab.history()), "");
}

TEST(EjectionSchedules, KeepTheRulesUnderFaultsThatAreDrawn) {
  for (const std::uint64_t seed : {31u, 32u}) {
    LabSettings settings = ill_fleet(3);
    settings.seed = seed;
    FleetLab lab(settings);
    const History h = lab.run(draw_faults(seed, 10, 3, settings.timing));
    EXPECT_EQ(breach(h), "") << seed;
    EXPECT_TRUE(lab.recovered()) << seed;
    std::size_t verdicts = 0;
    for (const auto& e : h.store) verdicts += e.kind == standin::StoreEvent::Kind::written;
    EXPECT_GT(verdicts, 3u);
  }
}

// The reducer turns a verdict into what the module may not let rest, of hosts that come later as well.
TEST(Ejections, TheReducerKeepsWhatTheVerdictNames) {
  starlinghook::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].effect = starlinghook::Effect::safe;
  settings.classes[0].aim = seconds(2);
  settings.classes[0].deadline = seconds(20);
  settings.slots = 8;
  settings.max_held = 100;
  settings.max_attempts = 50;
  settings.resolution = std::chrono::milliseconds(5);
  settings.connect_timeout = seconds(1);
  settings.connection_idle_timeout = seconds(10);
  settings.slow_start_time = seconds(10);
  settings.slow_start_min_share = 0.2;
  settings.overload_factor = 2;
  settings.overload_window = seconds(3);
  const Limits limits = make_limits({}, 8, 100, seconds(1), seconds(10), false);
  const auto calls_in_a_second = [&](bool kept) {
    Counters counters;
    Reducer reducer(settings, limits, 1, counters);
    Time now = seconds(100);
    std::vector<Effect> done;
    const auto give = [&](const Input& input) {
      for (Effect& e : reducer.reduce(now, input)) done.push_back(std::move(e));
    };
    give(Started{});
    fleet::Plan plan;
    plan.reporter.emplace().relay = "r1";
    give(FleetPlanReceived{plan});
    const auto hear = [&](ejection::ReporterInput heard) {
      give(FleetInput{fleet::ReporterInput{std::move(heard)}});
    };
    ejection::Verdict verdict;
    verdict.token = 1;
    if (kept) verdict.closed = {7};
    hear(ejection::VerdictSeen{verdict, false});
    verdict.heartbeat = 1;
    hear(ejection::VerdictSeen{verdict, false});
    HostEntry host;
    host.id = "h";
    host.destination = 7;
    host.rate = 50;
    give(ClusterChanged{HostList{1, true, {host}}, false});
    for (int i = 0; i < 40; ++i)
      give(MessageSubmitted{0, "m" + std::to_string(i), 0, 0, 7, seconds(20),
                            std::make_shared<const std::string>("x"), true});
    // Every call fails at once. The time goes on with the module's timer.
    std::size_t calls = 0;
    const Time end = now + seconds(1);
    for (std::size_t at = 0; now < end;) {
      for (; at < done.size(); ++at) {
        const auto* call = std::get_if<StartCall>(&done[at]);
        if (!call) continue;
        ++calls;
        CallEnded failed;
        failed.stream = call->stream;
        failed.attempt = call->attempt;
        failed.outcome = starlinghook::Outcome::connect_failed;
        give(failed);
      }
      now = std::max(now + std::chrono::milliseconds(1), std::min(reducer.next_timer(), end));
      give(TimerExpired{});
    }
    hear(ejection::CheckTimerExpired{});
    std::size_t reported = 0;
    for (const Effect& e : done) {
      const auto* fleet = std::get_if<FleetEffect>(&e);
      const auto* report = fleet ? std::get_if<fleet::ReporterEffect>(&fleet->effect) : nullptr;
      const auto* write = report ? std::get_if<ejection::WriteReport>(&report->effect) : nullptr;
      if (write) reported = write->report.degraded_endpoints.size();
    }
    EXPECT_EQ(reported, 1u);
    return calls;
  };
  const std::size_t rests = calls_in_a_second(false), goes_on = calls_in_a_second(true);
  EXPECT_LE(rests, 6u);
  EXPECT_GT(goes_on, rests * 2);
  EXPECT_LE(goes_on, 60u);  // what a cold destination stands in overload_time
}

}  // namespace
}  // namespace fennellane

// Many forwarders and one destination that returns from an outage with little capacity, without the
// simulator: all their calls together must stay within the slow-start budget. Seeds are fixed; time advances
// in ticks.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <vector>

#include "fleet_settings.hpp"
#include "starlinghook/delivery.hpp"

namespace {

using namespace starlinghook;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kTick = milliseconds(10);
constexpr DestinationId kDestination = 7;
constexpr Time kOverloadWindow = seconds(2);
constexpr double kOverloadFactor = 2;
constexpr double kSlowStartMinShare = 0.16;
constexpr Time kSlowStartTime = seconds(10);

double in_seconds(Time span) { return std::chrono::duration<double>(span).count(); }

struct Scenario {
  std::uint32_t forwarders = 30;
  double rate = 30;      // calls a second that the destination takes at full capacity
  double traffic = 0.9;  // messages a second, as a share of that
  bool uneven = false;   // some forwarders get several times the mean
  Time outage = seconds(10);
  bool silent = false;  // calls during the outage are lost, not refused
  unsigned seed = 1;
};

// Model of the destination: in an outage, then in slow start, then at full capacity.
class RecoveringDestination {
 public:
  RecoveringDestination(const Scenario& scenario, Time down)
      : scenario_(scenario), down_(down), up_(down + scenario.outage) {}

  bool is_down(Time t) const { return t >= down_ && t < up_; }
  double capacity(Time t) const {
    if (t < up_) return scenario_.rate;
    return scenario_.rate *
           (kSlowStartMinShare +
            (1 - kSlowStartMinShare) * std::min(1.0, in_seconds(t - up_) / in_seconds(kSlowStartTime)));
  }
  void tick(Time t) {
    tokens_ = std::min(tokens_ + capacity(t) * in_seconds(kTick), std::max(1.0, capacity(t)));
  }
  bool accept_call() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  // By how much the calls of the last window exceed what the destination can take; at most 0 if they do not.
  double excess(Time t, bool informed) {
    std::deque<Time>& calls = informed ? informed_calls_ : all_calls_;
    while (!calls.empty() && calls.front() + kOverloadWindow <= t) calls.pop_front();
    if (t < up_ || t - up_ > kSlowStartTime) return -1e9;
    const double budget = kOverloadFactor * capacity(t) * in_seconds(kOverloadWindow);
    return static_cast<double>(calls.size()) - (budget + 2 * std::sqrt(budget) + 2);
  }
  void count_call(Time t, bool informed) {
    if (t < up_) return;
    all_calls_.push_back(t);
    if (informed) informed_calls_.push_back(t);
  }
  Time up() const { return up_; }

 private:
  const Scenario scenario_;
  const Time down_, up_;
  double tokens_ = 1;
  std::deque<Time> all_calls_, informed_calls_;  // since the return, within the last window
};

struct Result {
  double max_excess_informed = -1e9;  // calls of forwarders that had seen the outage
  double max_excess_all = -1e9;
  double delivered_share = 0;  // share of the messages that arrived after the return
};

class Fleet {
 public:
  explicit Fleet(const Scenario& scenario)
      : scenario_(scenario), random_(scenario.seed + 1000), destination_(scenario, seconds(10)) {
    std::vector<double> weights;
    for (std::uint32_t i = 0; i < scenario.forwarders; ++i) {
      members_.emplace_back(settings(i));
      weights.push_back(scenario.uneven ? 1 / std::sqrt(i + 1.0) : 1.0);
      Member& member = members_.back();
      member.forwarder.start(Time(0), member.actions);
      handle(member, ListChanged{true, false, {{1, kDestination, 0, 0, scenario.rate, Condition::ready}}});
    }
    pick_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }

  Result run() {
    Result result;
    std::poisson_distribution<> arrivals(scenario_.rate * scenario_.traffic * in_seconds(kTick));
    const Time end = destination_.up() + seconds(14);
    for (now_ = Time(0); now_ < end; now_ += kTick) {
      destination_.tick(now_);
      deliver_answers();
      for (int n = arrivals(random_); n > 0; --n) submit_message();
      for (Member& member : members_) {
        if (member.timer_at > now_) continue;
        member.timer_at = Time::max();
        handle(member, TimerExpired{});
      }
      result.max_excess_informed = std::max(result.max_excess_informed, destination_.excess(now_, true));
      result.max_excess_all = std::max(result.max_excess_all, destination_.excess(now_, false));
    }
    result.delivered_share =
        static_cast<double>(delivered_) / static_cast<double>(std::max<std::size_t>(1, submitted_));
    return result;
  }

 private:
  struct Member {
    explicit Member(const Settings& settings) : forwarder(settings) {}
    Forwarder forwarder;
    std::vector<Action> actions;
    Time timer_at = Time::max();
    bool saw_outage = false;  // has seen a call fail in the outage
  };
  struct Answer {
    std::size_t member;
    AttemptEnded event;
  };

  Settings settings(std::uint32_t index) const {
    Settings s = test::fleet_settings(scenario_.seed, index, scenario_.forwarders);
    s.slots = 8;
    s.slow_start_time = kSlowStartTime;
    s.slow_start_min_share = kSlowStartMinShare;
    s.overload_factor = kOverloadFactor;
    s.overload_window = kOverloadWindow;
    return s;
  }

  void submit_message() {
    if (now_ >= destination_.up()) ++submitted_;
    handle(members_[pick_(random_)], MessageArrived{++last_id_, 0, 0, kDestination, 0, seconds(20)});
  }
  void deliver_answers() {
    while (!answers_.empty() && answers_.begin()->first <= now_) {
      const Answer answer = answers_.begin()->second;
      answers_.erase(answers_.begin());
      Member& member = members_[answer.member];
      if (answer.event.outcome == Outcome::connect_failed || answer.event.outcome == Outcome::timeout)
        member.saw_outage = true;
      if (answer.event.outcome == Outcome::delivered && now_ >= destination_.up()) ++delivered_;
      handle(member, answer.event);
    }
  }
  void handle(Member& member, const Event& event) {
    member.forwarder.handle(now_, event, member.actions);
    const std::vector<Action> actions = std::exchange(member.actions, {});
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action))
        member.timer_at = std::min(member.timer_at, timer->at);
      if (const auto* send = std::get_if<Send>(&action)) call(member, *send);
    }
  }
  void call(Member& member, const Send& send) {
    AttemptEnded ended;
    ended.id = send.id;
    ended.attempt = attempts_[send.id]++;
    ended.endpoint = 1;
    ended.outcome = Outcome::delivered;
    ended.finished = true;
    ended.connection_idle = milliseconds(1);
    Time duration = milliseconds(80);
    destination_.count_call(now_, member.saw_outage);
    if (destination_.is_down(now_)) {
      ended.outcome = scenario_.silent ? Outcome::timeout : Outcome::connect_failed;
      ended.finished = false;
      ended.connection_idle = Time(0);
      duration = scenario_.silent ? send.timeout : Time(milliseconds(20));
    } else if (!destination_.accept_call()) {
      ended.outcome = Outcome::full;
      ended.finished = false;
    }
    answers_.emplace(now_ + duration, Answer{static_cast<std::size_t>(&member - members_.data()), ended});
  }

  const Scenario scenario_;
  std::mt19937 random_;
  RecoveringDestination destination_;
  std::vector<Member> members_;
  std::discrete_distribution<std::size_t> pick_;
  std::multimap<Time, Answer> answers_;
  std::map<MessageId, std::uint32_t> attempts_;
  MessageId last_id_ = 0;
  std::size_t submitted_ = 0, delivered_ = 0;
  Time now_{};
};

class SlowStart : public testing::TestWithParam<std::tuple<std::uint32_t, double, bool, bool>> {};

TEST_P(SlowStart, CallsOfAllForwardersStayWithinTheBudget) {
  Scenario scenario;
  std::tie(scenario.forwarders, scenario.rate, scenario.uneven, scenario.silent) = GetParam();
  for (const auto& [traffic, outage] : {std::pair{0.5, 10}, {0.9, 4}, {0.9, 20}, {1.3, 10}, {3.0, 10}}) {
    scenario.traffic = traffic;
    scenario.outage = seconds(outage);
    for (scenario.seed = 1; scenario.seed <= 3; ++scenario.seed) {
      const Result result = Fleet(scenario).run();
      if (std::getenv("SHOW"))
        std::printf(
            "R %u rate %g uneven %d silent %d traffic %g seed %u: excess %.1f (all %.1f), delivered %.2f\n",
            scenario.forwarders, scenario.rate, scenario.uneven, scenario.silent, scenario.traffic,
            scenario.seed, result.max_excess_informed, result.max_excess_all, result.delivered_share);
      EXPECT_LE(result.max_excess_informed, 0)
          << "traffic " << scenario.traffic << ", seed " << scenario.seed;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStart,
                         testing::Combine(testing::Values(3u, 20u, 30u, 300u),
                                          testing::Values(2.0, 10.0, 40.0, 150.0), testing::Bool(),
                                          testing::Bool()));

}  // namespace

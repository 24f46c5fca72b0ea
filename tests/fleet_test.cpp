// Many forwarders against one modelled destination, without the simulator. What each does alone is harmless,
// so the bounds are on the sum. Seeds are fixed; time advances in ticks.
#include <gtest/gtest.h>

#include <algorithm>
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

struct Scenario {
  std::uint32_t forwarders = 100;
  double listed_rate = 60;         // calls a second, according to the list
  double arrival_rate = 45;        // messages a second, over all forwarders
  bool counts_per_second = false;  // the limit is a count in each second, not a rate
  bool counts_refused = false;
  bool requests_wait = false;
  double low_share = 0.3;  // share of the limit that remains
  Time falls_at = seconds(8), rises_at = seconds(17), ends_at = seconds(30);
  unsigned seed = 1;
};

struct CallCounts {
  std::size_t calls = 0, delivered = 0, refused = 0;
};

// A destination with a limit: a token bucket, or a count in each second. Its reports are delayed and noisy.
class Destination {
 public:
  explicit Destination(const Scenario& scenario)
      : scenario_(scenario), random_(scenario.seed), left_(scenario.listed_rate / 2) {}

  double limit(Time t) const {
    return scenario_.listed_rate *
           (t >= scenario_.falls_at && t < scenario_.rises_at ? scenario_.low_share : 1);
  }
  void tick(Time t) {
    const double depth = scenario_.counts_per_second ? limit(t) : std::max(1.0, limit(t) / 2);
    if (scenario_.counts_per_second ? t % seconds(1) == Time(0) : true)
      left_ = scenario_.counts_per_second ? depth : left_ + limit(t) * 0.01;
    left_ = std::min(left_, depth);
    if (t % milliseconds(500) != Time(0)) return;
    report_ = {true, std::clamp(left_ / depth, 0.0, 1.0),
               limit(t) * std::uniform_real_distribution<>(0.9, 1.1)(random_)};
  }
  // Whether the call is accepted; if not, sets `wait` where the destination requests one.
  bool accept(Time t, Time& wait) {
    const bool room = left_ >= 1;
    if (room || scenario_.counts_refused)
      left_ = std::max(left_ - 1, scenario_.counts_per_second ? 0.0 : -limit(t) / 2);
    if (!room && scenario_.requests_wait)
      wait = scenario_.counts_per_second ? seconds(1) - t % seconds(1) : Time(milliseconds(500));
    return room;
  }
  const LoadReport& report() const { return report_; }

 private:
  const Scenario scenario_;
  std::mt19937 random_;
  double left_;
  LoadReport report_;
};

class Fleet {
 public:
  explicit Fleet(const Scenario& scenario)
      : scenario_(scenario), random_(scenario.seed + 1000), destination_(scenario) {
    for (std::uint32_t i = 0; i < scenario.forwarders; ++i) {
      members_.emplace_back(settings(i));
      Member& m = members_.back();
      m.forwarder.start(Time(0), m.actions);
      handle(m, ListChanged{true, false, {{1, kDestination, 0, 0, scenario.listed_rate, Condition::ready}}});
    }
  }

  // Returns the counts of each second.
  std::vector<CallCounts> run() {
    std::vector<CallCounts> counts_by_second;
    std::poisson_distribution<> arrivals(scenario_.arrival_rate * 0.01);
    for (now_ = Time(0); now_ < scenario_.ends_at; now_ += kTick) {
      if (now_ % seconds(1) == Time(0)) counts_by_second.emplace_back();
      counts_ = &counts_by_second.back();
      destination_.tick(now_);
      for (; !answers_.empty() && answers_.front().at <= now_; answers_.pop_front()) {
        Answer a = answers_.front();
        handle(members_[a.member], a.event);
      }
      for (int n = arrivals(random_); n > 0; --n) {
        handle(members_[random_() % members_.size()],
               MessageArrived{++last_id_, 0, 0, kDestination, 0, seconds(20)});
      }
      for (Member& m : members_) {
        if (m.timer_at > now_) continue;
        m.timer_at = Time::max();
        handle(m, TimerExpired{});
      }
    }
    return counts_by_second;
  }

 private:
  struct Member {
    explicit Member(const Settings& s) : forwarder(s) {}
    Forwarder forwarder;
    std::vector<Action> actions;
    Time timer_at = Time::max();
  };
  struct Answer {
    Time at;
    std::size_t member;
    AttemptEnded event;
  };

  Settings settings(std::uint32_t index) const {
    Settings s = test::fleet_settings(scenario_.seed, index, scenario_.forwarders);
    s.slots = 6;
    s.reports_allowance = true;
    return s;
  }

  void handle(Member& m, const Event& e) {
    m.forwarder.handle(now_, e, m.actions);
    const std::vector<Action> actions = std::exchange(m.actions, {});
    for (const Action& a : actions) {
      if (const auto* t = std::get_if<SetTimer>(&a)) m.timer_at = std::min(m.timer_at, t->at);
      if (const auto* s = std::get_if<Send>(&a)) call(m, *s);
    }
  }
  void call(Member& m, const Send& s) {
    AttemptEnded e{s.id, attempts_[s.id]++, 1,     Outcome::delivered,
                   true, Time(0),           false, destination_.report()};
    ++counts_->calls;
    if (destination_.accept(now_, e.retry_after)) {
      ++counts_->delivered;
    } else {
      ++counts_->refused;
      e.outcome = Outcome::full;
      e.finished = false;
    }
    e.connection_idle = milliseconds(1);
    answers_.push_back({now_ + milliseconds(60), static_cast<std::size_t>(&m - members_.data()), e});
  }

  const Scenario scenario_;
  std::mt19937 random_;
  Destination destination_;
  std::vector<Member> members_;
  std::deque<Answer> answers_;
  std::map<MessageId, std::uint32_t> attempts_;
  MessageId last_id_ = 0;
  Time now_{};
  CallCounts* counts_ = nullptr;
};

CallCounts sum(const std::vector<CallCounts>& all, std::size_t from, std::size_t to) {
  CallCounts total;
  for (std::size_t i = from; i < to; ++i) {
    total.calls += all[i].calls;
    total.delivered += all[i].delivered;
    total.refused += all[i].refused;
  }
  return total;
}

// A limit that falls to a third for nine seconds and rises again. At some destinations refused calls use up
// the limit, so that forwarders which together keep exceeding it get nothing at all.
class FallingLimit : public testing::TestWithParam<std::tuple<std::uint32_t, bool, bool, bool>> {};

TEST_P(FallingLimit, IsDetectedBeforeRefusalsUseItUp) {
  Scenario scenario;
  std::tie(scenario.forwarders, scenario.counts_per_second, scenario.counts_refused, scenario.requests_wait) =
      GetParam();
  for (scenario.seed = 1; scenario.seed <= 3; ++scenario.seed) {
    const std::vector<CallCounts> counts = Fleet(scenario).run();
    const CallCounts before = sum(counts, 2, 8), low = sum(counts, 10, 17), after = sum(counts, 19, 30);
    // Calls that the destination accepts while the limit is low.
    const double rate = scenario.listed_rate * scenario.low_share * 7;
    EXPECT_LE(before.refused, 10u);
    EXPECT_LE(low.refused, scenario.forwarders == 100 ? 80u : 50u);
    EXPECT_GE(static_cast<double>(low.delivered),
              rate * (scenario.counts_refused && !scenario.counts_per_second ? 0.5 : 0.85));
    EXPECT_GE(after.delivered, 420u) << "deliveries recover";
    EXPECT_LE(after.refused, 150u);
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, FallingLimit,
                         testing::Combine(testing::Values(2u, 10u, 100u), testing::Bool(), testing::Bool(),
                                          testing::Bool()));

}  // namespace

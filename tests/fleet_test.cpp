// Many forwarders against one modelled destination, without a bench: what each does alone is harmless, so the
// bounds here are on the sum. Fixed seeds; time goes by in ticks.
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

struct World {
  std::uint32_t forwarders = 100;
  double listed = 60;  // calls a second, as the list says
  double asked = 45;   // messages a second, of all forwarders together
  bool span = false;   // the limit is a count in each second; else a rate
  bool counts_refused = false;
  bool tells_wait = false;
  double low = 0.3;  // share of the limit left
  Time falls = seconds(8), rises = seconds(17), ends = seconds(30);
  unsigned seed = 1;
};

struct Seen {
  std::size_t calls = 0, delivered = 0, refused = 0;
};

// A destination with a limit: a bucket, or a count in each second. What it reports is a while old and noisy.
class Destination {
 public:
  explicit Destination(const World& w) : w_(w), random_(w.seed), left_(w.listed / 2) {}

  double limit(Time t) const { return w_.listed * (t >= w_.falls && t < w_.rises ? w_.low : 1); }
  void tick(Time t) {
    const double depth = w_.span ? limit(t) : std::max(1.0, limit(t) / 2);
    if (w_.span ? t % seconds(1) == Time(0) : true) left_ = w_.span ? depth : left_ + limit(t) * 0.01;
    left_ = std::min(left_, depth);
    if (t % milliseconds(500) != Time(0)) return;
    report_ = {true, std::clamp(left_ / depth, 0.0, 1.0),
               limit(t) * std::uniform_real_distribution<>(0.9, 1.1)(random_)};
  }
  // Whether the call is taken; else how long to wait, or nothing.
  bool takes(Time t, Time& wait) {
    const bool room = left_ >= 1;
    if (room || w_.counts_refused) left_ = std::max(left_ - 1, w_.span ? 0.0 : -limit(t) / 2);
    if (!room && w_.tells_wait) wait = w_.span ? seconds(1) - t % seconds(1) : Time(milliseconds(500));
    return room;
  }
  const LoadReport& report() const { return report_; }

 private:
  const World w_;
  std::mt19937 random_;
  double left_;
  LoadReport report_;
};

class Fleet {
 public:
  explicit Fleet(const World& w) : w_(w), random_(w.seed + 1000), destination_(w) {
    for (std::uint32_t i = 0; i < w.forwarders; ++i) {
      members_.emplace_back(settings(i));
      Member& m = members_.back();
      m.forwarder.start(Time(0), m.actions);
      give(m, ListChanged{true, false, {{1, kDestination, 0, 0, w.listed, Condition::ready}}});
    }
  }

  // Second by second.
  std::vector<Seen> play() {
    std::vector<Seen> seconds_seen;
    std::poisson_distribution<> arrivals(w_.asked * 0.01);
    for (now_ = Time(0); now_ < w_.ends; now_ += kTick) {
      if (now_ % seconds(1) == Time(0)) seconds_seen.emplace_back();
      seen_ = &seconds_seen.back();
      destination_.tick(now_);
      for (; !out_.empty() && out_.front().at <= now_; out_.pop_front()) {
        Answer a = out_.front();
        give(members_[a.member], a.event);
      }
      for (int n = arrivals(random_); n > 0; --n) {
        give(members_[random_() % members_.size()],
             MessageArrived{++last_id_, 0, 0, kDestination, 0, seconds(20)});
      }
      for (Member& m : members_) {
        if (m.due > now_) continue;
        m.due = Time::max();
        give(m, TimerFired{});
      }
    }
    return seconds_seen;
  }

 private:
  struct Member {
    explicit Member(const Settings& s) : forwarder(s) {}
    Forwarder forwarder;
    std::vector<Action> actions;
    Time due = Time::max();
  };
  struct Answer {
    Time at;
    std::size_t member;
    AttemptEnded event;
  };

  Settings settings(std::uint32_t index) const {
    Settings s = test::fleet_settings(w_.seed, index, w_.forwarders);
    s.slots = 6;
    s.reports_allowance = true;
    return s;
  }

  void give(Member& m, const Event& e) {
    m.forwarder.handle(now_, e, m.actions);
    const std::vector<Action> actions = std::exchange(m.actions, {});
    for (const Action& a : actions) {
      if (const auto* t = std::get_if<SetTimer>(&a)) m.due = std::min(m.due, t->at);
      if (const auto* s = std::get_if<Send>(&a)) call(m, *s);
    }
  }
  void call(Member& m, const Send& s) {
    AttemptEnded e{s.id, attempts_[s.id]++, 1,     Outcome::delivered,
                   true, Time(0),           false, destination_.report()};
    ++seen_->calls;
    if (destination_.takes(now_, e.told_wait)) {
      ++seen_->delivered;
    } else {
      ++seen_->refused;
      e.outcome = Outcome::full;
      e.finished = false;
    }
    e.idle = milliseconds(1);
    out_.push_back({now_ + milliseconds(60), static_cast<std::size_t>(&m - members_.data()), e});
  }

  const World w_;
  std::mt19937 random_;
  Destination destination_;
  std::vector<Member> members_;
  std::deque<Answer> out_;
  std::map<MessageId, std::uint32_t> attempts_;
  MessageId last_id_ = 0;
  Time now_{};
  Seen* seen_ = nullptr;
};

Seen sum(const std::vector<Seen>& all, std::size_t from, std::size_t to) {
  Seen total;
  for (std::size_t i = from; i < to; ++i) {
    total.calls += all[i].calls;
    total.delivered += all[i].delivered;
    total.refused += all[i].refused;
  }
  return total;
}

// A limit that falls to a third for nine seconds and rises again. At some destinations refused calls use it
// up, so that forwarders who go on asking for more than it together get nothing at all.
class FallingLimit : public testing::TestWithParam<std::tuple<std::uint32_t, bool, bool, bool>> {};

TEST_P(FallingLimit, IsHeardOfBeforeRefusalsUseItUp) {
  World w;
  std::tie(w.forwarders, w.span, w.counts_refused, w.tells_wait) = GetParam();
  for (w.seed = 1; w.seed <= 3; ++w.seed) {
    const std::vector<Seen> seen = Fleet(w).play();
    const Seen before = sum(seen, 2, 8), low = sum(seen, 10, 17), after = sum(seen, 19, 30);
    const double rate = w.listed * w.low * 7;  // what it takes while it is low
    EXPECT_LE(before.refused, 10u);
    EXPECT_LE(low.refused, w.forwarders == 100 ? 80u : 50u);
    EXPECT_GE(static_cast<double>(low.delivered), rate * (w.counts_refused && !w.span ? 0.5 : 0.85));
    EXPECT_GE(after.delivered, 420u) << "it comes back";
    EXPECT_LE(after.refused, 150u);
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, FallingLimit,
                         testing::Combine(testing::Values(2u, 10u, 100u), testing::Bool(), testing::Bool(),
                                          testing::Bool()));

}  // namespace

#include "decision_cost.hpp"

#include <time.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "starlinghook/delivery.hpp"

namespace fennellane::harness {
namespace {

using namespace starlinghook;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kAnswerTime = milliseconds(20);
constexpr Time kMeasured = seconds(2);
constexpr std::size_t kSlots = 4096;
constexpr double kUnlimited = 1e6;  // calls a second

double cpu_us() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

class Decisions {
 public:
  explicit Decisions(std::size_t held) : forwarder_(settings(held)) {
    forwarder_.start(now_, actions_);
    // The held ones wait at a destination of their own, whose rate lets next to none go.
    const EndpointEntry fast{.endpoint = 1, .destination = 1, .rate = kUnlimited};
    const EndpointEntry slow{.endpoint = 2, .destination = 2, .rate = 0.1};
    handle(ListChanged{.full = true, .entries = {fast, slow}});
    for (std::size_t i = 0; i < held; ++i)
      handle(MessageArrived{.id = ++last_id_, .destination = 2, .time_left = seconds(1000)});
    fail_and_recover();
  }

  DecisionCost run(double rate) {
    const auto gap = Time(static_cast<Time::rep>(1e6 / rate));
    run_until(now_ + kMeasured, gap);  // fills the window
    const double before = cpu_us();
    longest_us_ = 0;
    const std::size_t messages = run_until(now_ + kMeasured, gap);
    return {(cpu_us() - before) / static_cast<double>(messages), longest_us_};
  }

 private:
  struct Call {
    MessageId id = 0;
    std::uint32_t attempt = 0;
    EndpointId endpoint = 0;
    Time ends{};
  };

  static Settings settings(std::size_t held) {
    Settings s;
    s.classes = {ClassSettings{.effect = Effect::safe, .aim = seconds(2), .deadline = seconds(2000)}};
    s.slots = kSlots;
    s.max_held = held * 2 + kSlots * 2;
    s.max_attempts = 12;
    s.can_cancel = true;
    s.overload_factor = 2;
    s.overload_window = seconds(2);
    s.slow_start_min_share = 0.16;
    s.slow_start_time = milliseconds(10);
    s.resolution = milliseconds(5);
    return s;
  }

  template <class Event>
  void handle(const Event& event) {
    const double before = cpu_us();
    forwarder_.handle(now_, event, actions_);
    longest_us_ = std::max(longest_us_, cpu_us() - before);
    for (const Action& action : std::exchange(actions_, {})) {
      if (const auto* send = std::get_if<Send>(&action))
        calls_.push_back({send->id, attempts_++, send->endpoint, now_ + kAnswerTime});
    }
  }
  void end_call(Outcome outcome) {
    const Call call = calls_.front();
    calls_.pop_front();
    AttemptEnded ended;
    ended.id = call.id;
    ended.endpoint = call.endpoint;
    ended.outcome = outcome;
    ended.finished = outcome == Outcome::delivered;
    handle(ended);
  }
  void fail_and_recover() {
    for (int i = 0; i < 4; ++i) {
      handle(MessageArrived{.id = ++last_id_, .destination = 1, .time_left = seconds(100)});
      now_ += seconds(1);
      while (!calls_.empty()) end_call(i < 3 ? Outcome::error : Outcome::delivered);
      now_ += seconds(3);
      handle(TimerExpired{});
    }
    while (!calls_.empty()) end_call(Outcome::delivered);
  }
  std::size_t run_until(Time end, Time gap) {
    std::size_t messages = 0;
    while (now_ < end) {
      while (!calls_.empty() && calls_.front().ends <= now_) end_call(Outcome::delivered);
      handle(MessageArrived{.id = ++last_id_, .destination = 1, .time_left = seconds(100)});
      ++messages;
      now_ += gap;
    }
    return messages;
  }

  Time now_ = seconds(1);
  std::vector<Action> actions_;
  Forwarder forwarder_;
  std::deque<Call> calls_;
  MessageId last_id_ = 0;
  std::uint32_t attempts_ = 0;
  double longest_us_ = 0;
};

}  // namespace

DecisionCost measure_decisions(double rate, std::size_t held) { return Decisions(held).run(rate); }

}  // namespace fennellane::harness

#include "watch_plan.hpp"

#include <algorithm>
#include <cmath>

namespace fennellane {
namespace {

constexpr Time kLeastWhenTurnedAway = std::chrono::seconds(1);
constexpr Time kMostRetryAfter = std::chrono::seconds(10);

}  // namespace

Time QueryBudget::take(Time now) {
  const double passed = std::chrono::duration<double>(std::max(Time(0), now - at_)).count();
  at_ = std::max(at_, now);
  tokens_ = std::min(std::max(1.0, rate_), tokens_ + passed * rate_) - 1;
  if (tokens_ >= 0) return now;
  return now + Time(static_cast<Time::rep>(std::ceil(-tokens_ / rate_ * 1e6)));
}

WatchPlan::WatchPlan(const ConsulSettings& settings, std::uint64_t seed, Time backoff_least,
                     Time backoff_most)
    : settings_(settings),
      backoff_least_(backoff_least),
      backoff_most_(backoff_most),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

WatchQuery WatchPlan::next() {
  asked_ = {};
  asked_.index = ask_again_ ? 0 : index_;
  asked_.consistency = settings_.consistency;
  if ((ask_again_ || to_leader_) && asked_.consistency == Consistency::stale) {
    asked_.consistency = Consistency::normal;
  }
  // A little less each time, so that the queries of many relays do not come in step.
  const Time::rep spread = settings_.wait.count() / 16;
  asked_.wait = settings_.wait - Time(spread > 0 ? static_cast<Time::rep>(random_()) % spread : 0);
  return asked_;
}

WatchPlan::Use WatchPlan::head(const AnswerHead& head) {
  if (head.status != 200) {
    trouble_ = "status " + std::to_string(head.status);
    Time least{};
    if (head.status == 403) trouble_ += ": the token may not read this";
    if (head.status == 404) trouble_ += ": this is no Consul agent, or too old a one";
    if (head.status / 100 == 3) trouble_ += ": redirects are not followed";
    if (head.status == 429)
      least = std::min(kMostRetryAfter, std::max(kLeastWhenTurnedAway, head.retry_after));
    if (head.status < 500 && head.status != 429) least = kLeastWhenTurnedAway;
    back_off(least);
    return Use::refused;
  }
  if (head.index == 0 && asked_.index == 0) {
    // Guards against taking some other server's page for an empty catalogue. A later index of 0 is a known
    // fault of old agents and counts as 1.
    trouble_ = "no X-Consul-Index of 1 or more";
    back_off(kLeastWhenTurnedAway);
    return Use::refused;
  }
  answered_index_ = std::max<std::uint64_t>(1, head.index);
  if (answered_index_ < asked_.index) {
    // Guards against a server that lags behind, whose answer may un-tell a drain: only the leader's word
    // counts for what is older than what is known.
    index_ = 0;
    to_leader_ = true;
    failures_ = 0;
    pause_ = Time(0);
    trouble_ = "the index went backwards, from " + std::to_string(asked_.index) + " to " +
               std::to_string(answered_index_);
    return Use::backwards;
  }
  const bool distant = !head.known_leader || head.last_contact > settings_.most_stale;
  to_leader_ = distant;
  return distant ? Use::distant : Use::read;
}

void WatchPlan::taken() {
  index_ = answered_index_;
  ask_again_ = false;
  failures_ = 0;
  pause_ = Time(0);
  trouble_.clear();
}

void WatchPlan::failed() { back_off(Time(0)); }

void WatchPlan::back_off(Time least) {
  const unsigned doublings = std::min(failures_++, 20u);
  const Time whole = std::max(least, std::min(backoff_most_, backoff_least_ * (Time::rep{1} << doublings)));
  // Between the half and the whole, so that many relays do not come back in step.
  pause_ = std::max(least, whole / 2 + Time(static_cast<Time::rep>(random_()) % (whole.count() / 2 + 1)));
}

}  // namespace fennellane

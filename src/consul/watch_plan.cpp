#include "watch_plan.hpp"

#include <algorithm>
#include <cmath>

namespace fennellane {
namespace {

constexpr Time kMinRejectedBackoff = std::chrono::seconds(1);
constexpr Time kMaxRetryAfter = std::chrono::seconds(10);

}  // namespace

Time QueryRateLimiter::reserve(Time now) {
  const double elapsed = std::chrono::duration<double>(std::max(Time(0), now - at_)).count();
  at_ = std::max(at_, now);
  tokens_ = std::min(std::max(1.0, rate_), tokens_ + elapsed * rate_) - 1;
  if (tokens_ >= 0) return now;
  return now + Time(static_cast<Time::rep>(std::ceil(-tokens_ / rate_ * 1e6)));
}

WatchPlan::WatchPlan(const ConsulSettings& settings, std::uint64_t seed, Time backoff_min, Time backoff_max)
    : settings_(settings),
      backoff_min_(backoff_min),
      backoff_max_(backoff_max),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

WatchQuery WatchPlan::next_query() {
  query_ = {};
  query_.index = query_again_ ? 0 : index_;
  query_.consistency = settings_.consistency;
  if ((query_again_ || ask_leader_) && query_.consistency == Consistency::stale) {
    query_.consistency = Consistency::normal;
  }
  // Shortened by a random time, so that the queries of many relays are not synchronized.
  const Time::rep spread = settings_.blocking_wait.count() / 16;
  query_.wait = settings_.blocking_wait - Time(spread > 0 ? static_cast<Time::rep>(random_()) % spread : 0);
  return query_;
}

WatchPlan::AnswerUse WatchPlan::on_head(const AnswerHead& head) {
  if (head.status != 200) {
    error_ = "status " + std::to_string(head.status);
    Time min_backoff{};
    if (head.status == 403) error_ += ": the token lacks read permission";
    if (head.status == 404) error_ += ": not a Consul agent, or an outdated one";
    if (head.status / 100 == 3) error_ += ": redirects are not followed";
    if (head.status == 429)
      min_backoff = std::min(kMaxRetryAfter, std::max(kMinRejectedBackoff, head.retry_after));
    if (head.status < 500 && head.status != 429) min_backoff = kMinRejectedBackoff;
    back_off(min_backoff);
    return AnswerUse::rejected;
  }
  if (head.index == 0 && query_.index == 0) {
    // Another server's page must not be taken for an empty catalogue. On later answers an index of 0 is a
    // known bug of old agents and counts as 1.
    error_ = "no X-Consul-Index of at least 1";
    back_off(kMinRejectedBackoff);
    return AnswerUse::rejected;
  }
  answered_index_ = std::max<std::uint64_t>(1, head.index);
  if (answered_index_ < query_.index) {
    // A lagging server's answer could revert a drain, so an answer older than the known state is accepted
    // only from the leader.
    index_ = 0;
    ask_leader_ = true;
    failures_ = 0;
    pause_ = Time(0);
    error_ =
        "the index decreased from " + std::to_string(query_.index) + " to " + std::to_string(answered_index_);
    return AnswerUse::index_decreased;
  }
  const bool out_of_touch = !head.known_leader || head.last_contact > settings_.max_stale;
  ask_leader_ = out_of_touch;
  return out_of_touch ? AnswerUse::without_leader : AnswerUse::usable;
}

void WatchPlan::on_answer_read() {
  index_ = answered_index_;
  query_again_ = false;
  failures_ = 0;
  pause_ = Time(0);
  error_.clear();
}

void WatchPlan::on_failure() { back_off(Time(0)); }

void WatchPlan::back_off(Time min_backoff) {
  const unsigned doublings = std::min(failures_++, 20u);
  const Time backoff =
      std::max(min_backoff, std::min(backoff_max_, backoff_min_ * (Time::rep{1} << doublings)));
  // Random between half and the full backoff, so that the retries of many relays are not synchronized.
  pause_ = std::max(min_backoff,
                    backoff / 2 + Time(static_cast<Time::rep>(random_()) % (backoff.count() / 2 + 1)));
}

}  // namespace fennellane

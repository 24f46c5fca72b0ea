#include "discovery_plan.hpp"

#include <algorithm>
#include <utility>

namespace fennellane {

std::string_view attempt_end_text(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::not_connected:
      return "the connection failed";
    case AttemptEnd::rejected:
      return "a status other than 200";
    case AttemptEnd::unusable:
      return "an answer that cannot be used";
    case AttemptEnd::closed:
      return "discovery ended the connection";
    case AttemptEnd::silent:
      return "the watch is silent";
    case AttemptEnd::redirected:
      return "discovery is at another address";
    case AttemptEnd::complete:
      return "the answer is complete";
  }
  return "";
}

DiscoveryPlan::DiscoveryPlan(const DiscoveryTiming& timing, std::uint64_t seed)
    : timing_(timing), random_(seed), retry_(timing.retry_min, timing.retry_max, seed) {}

template <class Predicate>
void DiscoveryPlan::close_if(Predicate matches, Effects& effects) {
  std::erase_if(attempts_, [&](const auto& entry) {
    if (!matches(entry.second)) return false;
    effects.push_back(CloseAttempt{entry.first});
    return true;
  });
}

void DiscoveryPlan::close_all(Effects& effects) {
  close_if([](const Attempt&) { return true; }, effects);
}

DiscoveryPlan::Effects DiscoveryPlan::start(Time now, bool have_list) {
  Effects effects;
  have_list_ = have_list;
  started_ = true;
  begin(now);
  tick(now, effects);
  return effects;
}

DiscoveryPlan::Effects DiscoveryPlan::redirect(Time now) {
  Effects effects;
  have_list_ = false;
  if (!started_) return effects;
  close_all(effects);
  if (hearing_since_) lose_hearing(now, AttemptEnd::redirected, effects);
  begin(now);
  tick(now, effects);
  return effects;
}

// What an earlier address has shown does not apply.
void DiscoveryPlan::begin(Time now) {
  retry_.reset();
  interval_ = timing_.first_interval;
  next_start_ = lost_since_ = now;
  attempts_since_lost_ = 0;
}

DiscoveryPlan::Effects DiscoveryPlan::on_input(Time now, AttemptId id) {
  Effects effects;
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return effects;
  if (!it->second.last_input) learn_interval(now);
  it->second.last_input = now;
  it->second.line_pending = true;
  return effects;
}

DiscoveryPlan::Effects DiscoveryPlan::on_line(Time now, AttemptId id) {
  Effects effects = on_input(now, id);
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return effects;
  it->second.line_pending = false;
  const Attempt& answered = it->second;
  close_if([&](const Attempt& attempt) { return &attempt != &answered; }, effects);
  if (hearing_since_) return effects;
  hearing_since_ = now;
  effects.push_back(HearingRegained{now - lost_since_, std::exchange(attempts_since_lost_, 0)});
  return effects;
}

DiscoveryPlan::Effects DiscoveryPlan::on_ended(Time now, AttemptId id, AttemptEnd reason) {
  Effects effects;
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return effects;
  const Attempt ended = it->second;
  attempts_.erase(it);
  if (reason == AttemptEnd::complete && ended.request == DiscoveryRequest::full_list) {
    have_list_ = true;
    close_all(effects);
    next_start_ = now;
    tick(now, effects);
    return effects;
  }
  // A watch that was answered well shows that discovery serves, so the next failure is the first.
  if (ended.request == DiscoveryRequest::watch && ended.last_input && reason == AttemptEnd::closed)
    retry_.reset();
  if (hearing_since_ && !is_receiving(now)) lose_hearing(now, reason, effects);
  next_start_ = now + retry_.next_delay();
  tick(now, effects);
  return effects;
}

DiscoveryPlan::Effects DiscoveryPlan::on_timer(Time now) {
  Effects effects;
  tick(now, effects);
  return effects;
}

void DiscoveryPlan::tick(Time now, Effects& effects) {
  close_if([&](const Attempt& attempt) { return now >= expiry(attempt); }, effects);
  if (is_receiving(now)) return;
  if (hearing_since_) {
    lose_hearing(now, AttemptEnd::silent, effects);
    // Many relays' watches fall silent in one moment.
    next_start_ = now + jitter();
  }
  if (now >= next_start_) start_attempt(now, effects);
}

void DiscoveryPlan::start_attempt(Time now, Effects& effects) {
  const bool patient = starts_patient(now);
  // One that is not patient gives way to the next.
  close_if([](const Attempt& attempt) { return !attempt.patient && !attempt.last_input; }, effects);
  const DiscoveryRequest request = have_list_ ? DiscoveryRequest::watch : DiscoveryRequest::full_list;
  attempts_.emplace(++last_id_, Attempt{request, now, patient, std::nullopt});
  ++attempts_since_lost_;
  last_started_ = now;
  next_start_ = now + interval_ + jitter();
  effects.push_back(StartAttempt{last_id_, request});
}

bool DiscoveryPlan::starts_patient(Time now) const {
  return std::none_of(attempts_.begin(), attempts_.end(), [&](const auto& entry) {
    return entry.second.patient && entry.second.started + timing_.patient_interval > now;
  });
}

Time DiscoveryPlan::silence_limit(const Attempt& attempt) const {
  if (attempt.request == DiscoveryRequest::full_list) return timing_.answer_silence;
  return attempt.line_pending ? timing_.line_silence : timing_.watch_silence;
}

// When an attempt is given up: a full list as a whole, a watch so long after its last input.
Time DiscoveryPlan::expiry(const Attempt& attempt) const {
  const bool answered_watch = attempt.request == DiscoveryRequest::watch && attempt.last_input;
  return (answered_watch ? *attempt.last_input : attempt.started) + timing_.attempt_timeout;
}

bool DiscoveryPlan::receives(const Attempt& attempt, Time now) const {
  return attempt.last_input && now < *attempt.last_input + silence_limit(attempt);
}

bool DiscoveryPlan::is_receiving(Time now) const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [&](const auto& entry) { return receives(entry.second, now); });
}

// The newest attempt's age is the least that an answer takes, and after an outage it tells nothing of how
// long the outage was.
void DiscoveryPlan::learn_interval(Time now) {
  interval_ = std::clamp((now - last_started_) * 2, timing_.interval_min, timing_.interval_max);
}

Time DiscoveryPlan::jitter() {
  return Time(std::uniform_int_distribution<Time::rep>(0, timing_.interval_jitter.count())(random_));
}

void DiscoveryPlan::lose_hearing(Time now, AttemptEnd reason, Effects& effects) {
  effects.push_back(HearingLost{reason, now - *hearing_since_});
  hearing_since_.reset();
  lost_since_ = now;
  attempts_since_lost_ = 0;
}

Time DiscoveryPlan::next_timer(Time now) const {
  if (!started_) return Time::max();
  Time next = Time::max();
  bool receiving = false;
  for (const auto& [id, attempt] : attempts_) {
    next = std::min(next, expiry(attempt));
    if (!receives(attempt, now)) continue;
    next = std::min(next, *attempt.last_input + silence_limit(attempt));
    receiving = true;
  }
  return receiving ? next : std::min(next, next_start_);
}

}  // namespace fennellane

#include "lease.hpp"

#include <algorithm>
#include <random>
#include <sstream>

namespace fennellane::lease {
namespace {

long long milliseconds_of(Time t) { return std::chrono::duration_cast<std::chrono::milliseconds>(t).count(); }

}  // namespace

std::string timing_problem(const Timing& timing, Time min_ttl) {
  if (timing.ttl < min_ttl || timing.ttl > std::chrono::hours(24))
    return "ttl: Consul takes " + std::to_string(milliseconds_of(min_ttl)) + " ms to 86,400 s";
  if (timing.margin < Time::zero()) return "margin: below zero";
  if (timing.call <= Time::zero() || timing.retry <= Time::zero() || timing.renew_every <= Time::zero())
    return "call, retry and renew_every: above zero";
  // Otherwise the lease would lapse between two successful renews: the next renew is sent at `renew_every`
  // and answered within `call`, and the lease ends at `ttl - margin`.
  if (timing.renew_every + timing.call >= timing.ttl - timing.margin)
    return "renew_every + call: under ttl - margin";
  if (timing.lock_delay < timing.call)
    return "lock_delay: at least one call, so that one under way has ended";
  return {};
}

Lease::Lease(const Timing& timing, std::uint64_t seed) : timing_(timing), seed_(seed) {}

bool Lease::may_act(Time now) const { return state_ == State::active && now < active_until(); }

std::optional<Token> Lease::token() const {
  if (state_ != State::active) return std::nullopt;
  return token_;
}

std::vector<Effect> Lease::handle(Time now, const Input& input) {
  Effects effects;
  std::visit([&](const auto& in) { on(now, in, effects); }, input);
  if (pending_call_ == Call::none) next_call(now, effects);
  // The next time at which something is due. With a call in flight, the next step is taken on its answer.
  std::optional<Time> due;
  const auto consider = [&due](Time at) { due = due ? std::min(*due, at) : at; };
  if (state_ == State::active || state_ == State::holding) consider(active_until());
  if (pending_call_ == Call::none && state_ != State::off) {
    if (!session_.empty()) consider(std::max(confirmed_ + timing_.renew_every, next_attempt_));
    if ((session_.empty() || state_ == State::seeking) && key_available()) consider(next_attempt_);
  }
  if (due && (!timer_set_ || *due != timer_)) {
    timer_set_ = true;
    timer_ = *due;
    effects.push_back(SetTimer{*due});
  }
  return effects;
}

void Lease::next_call(Time now, Effects& effects) {
  if (!role_wanted_) {
    if (session_.empty()) {
      state_ = State::off;
      return;
    }
    return release_session(has_lock(), effects);
  }
  // This session lost the lock, or another holds the key: the session is destroyed.
  if (lock_lost_ || (state_ == State::seeking && key_read_ && !key_available())) {
    return release_session(false, effects);
  }
  if (session_.empty() && !key_available()) {
    state_ = State::waiting;
    return;
  }
  if (now < next_attempt_) return;
  if (session_.empty()) {
    state_ = State::creating;
    pending_call_ = Call::create;
    effects.push_back(CreateSession{timing_.ttl, timing_.lock_delay});
    return;
  }
  if (now >= confirmed_ + timing_.renew_every) {
    pending_call_ = Call::renew;
    effects.push_back(RenewSession{session_});
    return;
  }
  // Only a key that was read as free is acquired, so that the fleet does not keep requesting a held lock; for
  // a held key the lease waits for the blocking read. The key is read first, as in Consul's lock recipe, so
  // that an answer from before the acquire can be recognized.
  if (state_ == State::seeking && key_available()) {
    index_before_acquire_ = key_modify_index_;
    pending_call_ = Call::acquire;
    effects.push_back(AcquireLock{session_});
  }
}

void Lease::release_session(bool holds, Effects& effects) {
  state_ = State::releasing;
  pending_call_ = Call::release;
  effects.push_back(ReleaseSession{session_, holds});
}

// Uses the token from the last read of the key: the lease may have lapsed before the first read.
void Lease::activate(Effects& effects) {
  token_ = key_lock_index_;
  state_ = State::active;
  effects.push_back(LeaseActive{token_});
}

void Lease::deactivate(LogEvent event, const std::string& reason, State next_state, Effects& effects) {
  if (state_ == State::active) effects.push_back(LeaseInactive{reason});
  if (has_lock()) effects.push_back(LogMessage{event, reason + ", token " + std::to_string(token_)});
  state_ = next_state;
}

// Keeps what is known of the key, which does not depend on the session.
void Lease::clear_session() {
  session_.clear();
  lock_lost_ = false;
  index_before_acquire_ = 0;
  token_ = 0;
}

// Randomized, so that the relays seeking a role do not all call Consul at the same moment.
void Lease::delay_next_attempt(Time now, Time min_delay) {
  Time at = now + min_delay;
  if (timing_.spread > Time::zero()) {
    std::mt19937_64 random(seed_ + ++random_draws_);
    at += Time(std::uniform_int_distribution<Time::rep>(0, timing_.spread.count())(random));
  }
  next_attempt_ = std::max(next_attempt_, at);
}

void Lease::on(Time, const AcquireRole&, Effects&) { role_wanted_ = true; }

void Lease::on(Time, const ResignRole&, Effects& effects) {
  role_wanted_ = false;
  if (has_lock()) deactivate(LogEvent::resigned, "resigned", state_, effects);
  // not active any more; next_call releases the session
  if (state_ == State::active) state_ = State::holding;
}

void Lease::on(Time now, const SessionCreated& created, Effects& effects) {
  pending_call_ = Call::none;
  session_ = created.id;
  confirmed_ = created.sent;
  state_ = State::seeking;
  next_attempt_ = now;
  effects.push_back(LogMessage{LogEvent::session, "session " + created.id + " created"});
}

void Lease::on(Time now, const AcquireAnswered& answer, Effects& effects) {
  pending_call_ = Call::none;
  if (state_ != State::seeking) return;
  if (!answer.acquired) {
    // Refused: the lock is held by another, or the lock-delay of an expired holder is running.
    delay_next_attempt(now, timing_.retry);
    return;
  }
  state_ = State::holding;
  effects.push_back(LogMessage{LogEvent::acquired, "acquired with session " + session_});
  if (role_wanted_ && holds_key() && now < active_until()) activate(effects);
}

void Lease::on(Time now, const RenewAnswered& answer, Effects& effects) {
  pending_call_ = Call::none;
  if (!answer.session_alive) {
    deactivate(LogEvent::lost, "session " + session_ + " was invalidated", State::waiting, effects);
    clear_session();
    return;
  }
  confirmed_ = std::max(confirmed_, answer.sent);
  // The session existed when Consul handled this renew, so it still holds the lock unless the key showed
  // otherwise.
  if (state_ == State::lapsed && role_wanted_ && holds_key() && now < active_until()) {
    effects.push_back(LogMessage{LogEvent::resumed,
                                 "active again after a lapse, token " + std::to_string(key_lock_index_)});
    activate(effects);
  }
}

void Lease::on(Time now, const CallFailed&, Effects& effects) {
  const Call failed = pending_call_;
  pending_call_ = Call::none;
  next_attempt_ = now + timing_.retry;
  if (failed == Call::release) {
    // Consul invalidates the session at its TTL in any case.
    clear_session();
    state_ = role_wanted_ ? State::waiting : State::off;
  } else if (failed == Call::renew) {
    effects.push_back(LogMessage{LogEvent::renew_missed, "renew missed"});
  } else if (failed == Call::create) {
    state_ = State::waiting;
  }
}

void Lease::on(Time now, const KeyRead& key, Effects& effects) {
  if (key_read_ && key.modify_index < key_modify_index_ && !key.index_reset) return;
  if (key.index_reset) index_before_acquire_ = 0;  // the recorded index predates the reset
  const bool was_free = key_available();
  // During the lock-delay every attempt of the waiting relays would be refused.
  if (key.lapsed && (!key_read_ || key.index_reset || key.modify_index > key_modify_index_))
    delay_next_attempt(now, timing_.lock_delay);
  key_modify_index_ = key.modify_index;
  key_read_ = true;
  key_holder_ = key.holder;
  key_lock_index_ = key.lock_index;
  if (!was_free && key_available() && !key.lapsed) delay_next_attempt(now, Time::zero());
  const bool had_lock = has_lock();
  // An answer no newer than the read before the acquire does not show the state after it.
  if (had_lock && key.modify_index > index_before_acquire_ &&
      (key.holder != session_ || (state_ == State::active && key.lock_index != token_))) {
    deactivate(LogEvent::lost,
               key.holder.empty() ? "the lock is not held any more" : "the lock is held by another session",
               State::seeking, effects);
    token_ = 0;
    lock_lost_ = true;
    return;
  }
  // Also while seeking: if the answer to a successful acquire was lost, the key shows it first.
  if ((state_ == State::holding || state_ == State::seeking) && role_wanted_ && key.holder == session_) {
    if (now >= active_until()) {
      state_ = State::lapsed;
      return;
    }
    activate(effects);
  }
}

void Lease::on(Time now, const SessionReleased&, Effects& effects) {
  pending_call_ = Call::none;
  effects.push_back(LogMessage{LogEvent::session, "session " + session_ + " destroyed"});
  clear_session();
  state_ = role_wanted_ ? State::waiting : State::off;
  // A relay that has just resigned or lost the role waits longer than all that seek it, so that another gets
  // it.
  next_attempt_ = std::max(next_attempt_, now + timing_.retry + timing_.spread);
}

void Lease::on(Time now, const TimerExpired&, Effects& effects) {
  timer_set_ = false;
  if ((state_ == State::active || state_ == State::holding) && now >= active_until())
    deactivate(LogEvent::lapsed, "no renew confirmed within ttl - margin", State::lapsed, effects);
}

std::string Lease::fingerprint(Time now) const {
  const auto ahead = [now](Time t) { return milliseconds_of(std::max(t - now, Time::zero())); };
  std::ostringstream text;
  text << static_cast<int>(state_) << role_wanted_ << static_cast<int>(pending_call_) << '|' << session_
       << '|' << milliseconds_of(confirmed_ - now) << '|' << ahead(next_attempt_) << '|' << key_read_
       << key_holder_ << '|' << key_lock_index_ << '|' << key_modify_index_ << '|' << index_before_acquire_
       << '|' << token_ << '|' << timer_set_ << ahead(timer_) << '|' << random_draws_ << lock_lost_;
  return text.str();
}

}  // namespace fennellane::lease

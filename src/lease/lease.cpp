#include "lease.hpp"

#include <algorithm>
#include <random>
#include <sstream>

namespace fennellane::lease {
namespace {

long long milliseconds_of(Time t) { return std::chrono::duration_cast<std::chrono::milliseconds>(t).count(); }

}  // namespace

std::string timing_problem(const Timing& timing, Time least_ttl) {
  if (timing.ttl < least_ttl || timing.ttl > std::chrono::hours(24))
    return "ttl: Consul takes " + std::to_string(milliseconds_of(least_ttl)) + " ms to 86,400 s";
  if (timing.margin < Time::zero()) return "margin: below zero";
  if (timing.call <= Time::zero() || timing.retry <= Time::zero() || timing.renew_every <= Time::zero())
    return "call, retry and renew_every: above zero";
  // Guards against a lease that lapses between two renews that go well: the next renew is sent at
  // `renew_every` and answered within `call`, and acting ends at `ttl - margin`.
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
  Effects out;
  std::visit([&](const auto& in) { on(now, in, out); }, input);
  if (pending_call_ == Call::none) next_call(now, out);
  // The next moment at which something is due. What waits for an answer wakes with that answer.
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
    out.push_back(SetTimer{*due});
  }
  return out;
}

void Lease::next_call(Time now, Effects& out) {
  if (!role_wanted_) {
    if (session_.empty()) {
      state_ = State::off;
      return;
    }
    return release_session(has_lock(), out);
  }
  // Guards against a lock that is held and sought: this session lost it, or came too late.
  if (lock_lost_ || (state_ == State::seeking && key_read_ && !key_available())) {
    return release_session(false, out);
  }
  if (session_.empty() && !key_available()) {
    state_ = State::waiting;
    return;
  }
  if (now < next_attempt_) return;
  if (session_.empty()) {
    state_ = State::creating;
    pending_call_ = Call::create;
    out.push_back(CreateSession{timing_.ttl, timing_.lock_delay});
    return;
  }
  if (now >= confirmed_ + timing_.renew_every) {
    pending_call_ = Call::renew;
    out.push_back(RenewSession{session_});
    return;
  }
  // Guards against a fleet asking Consul for a lock that is held: only a key read free is asked for; one held
  // is waited for on the blocking read. The key is read first, as in Consul's lock recipe, so that an answer
  // from before the acquire is known for one.
  if (state_ == State::seeking && key_available()) {
    index_before_acquire_ = key_modify_index_;
    pending_call_ = Call::acquire;
    out.push_back(AcquireLock{session_});
  }
}

void Lease::release_session(bool holds, Effects& out) {
  state_ = State::releasing;
  pending_call_ = Call::release;
  out.push_back(ReleaseSession{session_, holds});
}

// With the key's token as last read: a lapse may have come before the key was first heard.
void Lease::activate(Effects& out) {
  token_ = key_lock_index_;
  state_ = State::active;
  out.push_back(LeaseActive{token_});
}

void Lease::deactivate(LogEvent event, const std::string& why, State next, Effects& out) {
  if (state_ == State::active) out.push_back(LeaseInactive{why});
  if (has_lock()) out.push_back(LogMessage{event, why + ", token " + std::to_string(token_)});
  state_ = next;
}

// What is known of the key stays: it is the key's, not the session's.
void Lease::clear_session() {
  session_.clear();
  lock_lost_ = false;
  index_before_acquire_ = 0;
  token_ = 0;
}

// Guards Consul against all that seek a role coming in one moment: each draws its own.
void Lease::delay_next_attempt(Time now, Time least) {
  Time later = now + least;
  if (timing_.spread > Time::zero()) {
    std::mt19937_64 random(seed_ + ++random_draws_);
    later += Time(std::uniform_int_distribution<Time::rep>(0, timing_.spread.count())(random));
  }
  next_attempt_ = std::max(next_attempt_, later);
}

void Lease::on(Time, const AcquireRole&, Effects&) { role_wanted_ = true; }

void Lease::on(Time, const ResignRole&, Effects& out) {
  role_wanted_ = false;
  if (has_lock()) deactivate(LogEvent::resigned, "given up", state_, out);
  if (state_ == State::active) state_ = State::holding;  // no more acting; released by next_call
}

void Lease::on(Time now, const SessionCreated& made, Effects& out) {
  pending_call_ = Call::none;
  session_ = made.id;
  confirmed_ = made.sent;
  state_ = State::seeking;
  next_attempt_ = now;
  out.push_back(LogMessage{LogEvent::session, "session " + made.id + " made"});
}

void Lease::on(Time now, const AcquireAnswered& answer, Effects& out) {
  pending_call_ = Call::none;
  if (state_ != State::seeking) return;
  if (!answer.acquired) {
    // Refused: held by another, or within the lock-delay of a holder that is gone.
    delay_next_attempt(now, timing_.retry);
    return;
  }
  state_ = State::holding;
  out.push_back(LogMessage{LogEvent::acquired, "acquired with session " + session_});
  if (role_wanted_ && holds_key() && now < active_until()) activate(out);
}

void Lease::on(Time now, const RenewAnswered& answer, Effects& out) {
  pending_call_ = Call::none;
  if (!answer.session_alive) {
    deactivate(LogEvent::lost, "session " + session_ + " is gone", State::waiting, out);
    clear_session();
    return;
  }
  confirmed_ = std::max(confirmed_, answer.sent);
  // The session lived when Consul read this renew; the lock is ours unless the key said otherwise.
  if (state_ == State::lapsed && role_wanted_ && holds_key() && now < active_until()) {
    out.push_back(
        LogMessage{LogEvent::resumed, "renewed after a lapse, token " + std::to_string(key_lock_index_)});
    activate(out);
  }
}

void Lease::on(Time now, const CallFailed&, Effects& out) {
  const Call failed = pending_call_;
  pending_call_ = Call::none;
  next_attempt_ = now + timing_.retry;
  if (failed == Call::release) {
    // Consul invalidates it at its TTL in any case.
    clear_session();
    state_ = role_wanted_ ? State::waiting : State::off;
  } else if (failed == Call::renew) {
    out.push_back(LogMessage{LogEvent::renew_missed, "renew missed"});
  } else if (failed == Call::create) {
    state_ = State::waiting;
  }
}

void Lease::on(Time now, const KeyRead& seen, Effects& out) {
  if (key_read_ && seen.modify_index < key_modify_index_ && !seen.index_reset) return;
  if (seen.index_reset) index_before_acquire_ = 0;  // of a count that is over
  const bool was_free = key_available();
  // Guards Consul against all who wait trying, and being refused, for as long as its lock-delay runs.
  if (seen.lapsed && (!key_read_ || seen.index_reset || seen.modify_index > key_modify_index_))
    delay_next_attempt(now, timing_.lock_delay);
  key_modify_index_ = seen.modify_index;
  key_read_ = true;
  key_holder_ = seen.holder;
  key_lock_index_ = seen.lock_index;
  if (!was_free && key_available() && !seen.lapsed) delay_next_attempt(now, Time::zero());
  const bool had = has_lock();
  // An answer no newer than the read before our acquire tells nothing of what came after it.
  if (had && seen.modify_index > index_before_acquire_ &&
      (seen.holder != session_ || (state_ == State::active && seen.lock_index != token_))) {
    deactivate(LogEvent::lost, seen.holder.empty() ? "the lock is gone" : "held by another", State::seeking,
               out);
    token_ = 0;
    lock_lost_ = true;
    return;
  }
  // Seeking too: an acquire that Consul took but whose answer was lost shows here first.
  if ((state_ == State::holding || state_ == State::seeking) && role_wanted_ && seen.holder == session_) {
    if (now >= active_until()) {
      state_ = State::lapsed;
      return;
    }
    activate(out);
  }
}

void Lease::on(Time now, const SessionReleased&, Effects& out) {
  pending_call_ = Call::none;
  out.push_back(LogMessage{LogEvent::session, "session " + session_ + " destroyed"});
  clear_session();
  state_ = role_wanted_ ? State::waiting : State::off;
  // Guards the others' turn: whoever has just given the role up, or lost it, comes behind all who wait for
  // it.
  next_attempt_ = std::max(next_attempt_, now + timing_.retry + timing_.spread);
}

void Lease::on(Time now, const TimerExpired&, Effects& out) {
  timer_set_ = false;
  if ((state_ == State::active || state_ == State::holding) && now >= active_until())
    deactivate(LogEvent::lapsed, "no renew confirmed within ttl - margin", State::lapsed, out);
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

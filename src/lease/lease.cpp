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

bool Lease::may_act(Time now) const { return step_ == Step::acting && now < acting_ends(); }

std::optional<Token> Lease::token() const {
  if (step_ != Step::acting) return std::nullopt;
  return token_;
}

std::vector<Effect> Lease::handle(Time now, const Input& input) {
  Effects out;
  std::visit([&](const auto& in) { on(now, in, out); }, input);
  if (out_ == Call::none) next_call(now, out);
  // The next moment at which something is due. What waits for an answer wakes with that answer.
  std::optional<Time> due;
  const auto consider = [&due](Time at) { due = due ? std::min(*due, at) : at; };
  if (step_ == Step::acting || step_ == Step::holding) consider(acting_ends());
  if (out_ == Call::none && step_ != Step::off) {
    if (!session_.empty()) consider(std::max(confirmed_ + timing_.renew_every, next_try_));
    if ((session_.empty() || step_ == Step::seeking) && key_free()) consider(next_try_);
  }
  if (due && (!timer_set_ || *due != timer_)) {
    timer_set_ = true;
    timer_ = *due;
    out.push_back(SetTimer{*due});
  }
  return out;
}

void Lease::next_call(Time now, Effects& out) {
  if (!wanted_) {
    if (session_.empty()) {
      step_ = Step::off;
      return;
    }
    return let_go(has_lock(), out);
  }
  // Guards against a lock that is held and sought: this session lost it, or came too late.
  if (drop_ || (step_ == Step::seeking && key_seen_ && !key_free())) {
    return let_go(false, out);
  }
  if (session_.empty() && !key_free()) {
    step_ = Step::waiting;
    return;
  }
  if (now < next_try_) return;
  if (session_.empty()) {
    step_ = Step::making;
    out_ = Call::create;
    out.push_back(CreateSession{timing_.ttl, timing_.lock_delay});
    return;
  }
  if (now >= confirmed_ + timing_.renew_every) {
    out_ = Call::renew;
    out.push_back(Renew{session_});
    return;
  }
  // Guards against a fleet asking Consul for a lock that is held: only a key read free is asked for; one held
  // is waited for on the blocking read. The key is read first, as in Consul's lock recipe, so that an answer
  // from before the acquire is known for one.
  if (step_ == Step::seeking && key_free()) {
    acquired_after_ = seen_modify_;
    out_ = Call::acquire;
    out.push_back(Acquire{session_});
  }
}

void Lease::let_go(bool holds, Effects& out) {
  step_ = Step::releasing;
  out_ = Call::release;
  out.push_back(Release{session_, holds});
}

// With the key's token as last read: a lapse may have come before the key was first heard.
void Lease::act(Effects& out) {
  token_ = seen_index_;
  step_ = Step::acting;
  out.push_back(Act{token_});
}

void Lease::stop(Event event, const std::string& why, Step next, Effects& out) {
  if (step_ == Step::acting) out.push_back(Stop{why});
  if (has_lock()) out.push_back(Say{event, why + ", token " + std::to_string(token_)});
  step_ = next;
}

// What is known of the key stays: it is the key's, not the session's.
void Lease::forget_session() {
  session_.clear();
  drop_ = false;
  acquired_after_ = 0;
  token_ = 0;
}

// Guards Consul against all that seek a role coming in one moment: each draws its own.
void Lease::try_later(Time now, Time least) {
  Time later = now + least;
  if (timing_.spread > Time::zero()) {
    std::mt19937_64 random(seed_ + ++draws_);
    later += Time(std::uniform_int_distribution<Time::rep>(0, timing_.spread.count())(random));
  }
  next_try_ = std::max(next_try_, later);
}

void Lease::on(Time, const Want&, Effects&) { wanted_ = true; }

void Lease::on(Time, const Unwant&, Effects& out) {
  wanted_ = false;
  if (has_lock()) stop(Event::given_up, "given up", step_, out);
  if (step_ == Step::acting) step_ = Step::holding;  // no more acting; released by next_call
}

void Lease::on(Time now, const SessionMade& made, Effects& out) {
  out_ = Call::none;
  session_ = made.id;
  confirmed_ = made.sent;
  step_ = Step::seeking;
  next_try_ = now;
  out.push_back(Say{Event::session, "session " + made.id + " made"});
}

void Lease::on(Time now, const LockAnswer& answer, Effects& out) {
  out_ = Call::none;
  if (step_ != Step::seeking) return;
  if (!answer.held) {
    // Refused: held by another, or within the lock-delay of a holder that is gone.
    try_later(now, timing_.retry);
    return;
  }
  step_ = Step::holding;
  out.push_back(Say{Event::acquired, "acquired with session " + session_});
  if (wanted_ && key_ours() && now < acting_ends()) act(out);
}

void Lease::on(Time now, const RenewAnswer& answer, Effects& out) {
  out_ = Call::none;
  if (!answer.alive) {
    stop(Event::lost, "session " + session_ + " is gone", Step::waiting, out);
    forget_session();
    return;
  }
  confirmed_ = std::max(confirmed_, answer.sent);
  // The session lived when Consul read this renew; the lock is ours unless the key said otherwise.
  if (step_ == Step::lapsed && wanted_ && key_ours() && now < acting_ends()) {
    out.push_back(Say{Event::resumed, "renewed after a lapse, token " + std::to_string(seen_index_)});
    act(out);
  }
}

void Lease::on(Time now, const CallFailed&, Effects& out) {
  const Call failed = out_;
  out_ = Call::none;
  next_try_ = now + timing_.retry;
  if (failed == Call::release) {
    // Consul invalidates it at its TTL in any case.
    forget_session();
    step_ = wanted_ ? Step::waiting : Step::off;
  } else if (failed == Call::renew) {
    out.push_back(Say{Event::renew_missed, "renew missed"});
  } else if (failed == Call::create) {
    step_ = Step::waiting;
  }
}

void Lease::on(Time now, const KeySeen& seen, Effects& out) {
  if (key_seen_ && seen.index < seen_modify_ && !seen.afresh) return;
  if (seen.afresh) acquired_after_ = 0;  // of a count that is over
  const bool was_free = key_free();
  // Guards Consul against all who wait trying, and being refused, for as long as its lock-delay runs.
  if (seen.lapsed && (!key_seen_ || seen.afresh || seen.index > seen_modify_))
    try_later(now, timing_.lock_delay);
  seen_modify_ = seen.index;
  key_seen_ = true;
  seen_holder_ = seen.holder;
  seen_index_ = seen.lock_index;
  if (!was_free && key_free() && !seen.lapsed) try_later(now, Time::zero());
  const bool had = has_lock();
  // An answer no newer than the read before our acquire tells nothing of what came after it.
  if (had && seen.index > acquired_after_ &&
      (seen.holder != session_ || (step_ == Step::acting && seen.lock_index != token_))) {
    stop(Event::lost, seen.holder.empty() ? "the lock is gone" : "held by another", Step::seeking, out);
    token_ = 0;
    drop_ = true;
    return;
  }
  // Seeking too: an acquire that Consul took but whose answer was lost shows here first.
  if ((step_ == Step::holding || step_ == Step::seeking) && wanted_ && seen.holder == session_) {
    if (now >= acting_ends()) {
      step_ = Step::lapsed;
      return;
    }
    act(out);
  }
}

void Lease::on(Time now, const Done&, Effects& out) {
  out_ = Call::none;
  out.push_back(Say{Event::session, "session " + session_ + " destroyed"});
  forget_session();
  step_ = wanted_ ? Step::waiting : Step::off;
  // Guards the others' turn: whoever has just given the role up, or lost it, comes behind all who wait for
  // it.
  next_try_ = std::max(next_try_, now + timing_.retry + timing_.spread);
}

void Lease::on(Time now, const TimeDue&, Effects& out) {
  timer_set_ = false;
  if ((step_ == Step::acting || step_ == Step::holding) && now >= acting_ends())
    stop(Event::lapsed, "no renew confirmed within ttl - margin", Step::lapsed, out);
}

std::string Lease::fingerprint(Time now) const {
  const auto ahead = [now](Time t) { return milliseconds_of(std::max(t - now, Time::zero())); };
  std::ostringstream text;
  text << static_cast<int>(step_) << wanted_ << static_cast<int>(out_) << '|' << session_ << '|'
       << milliseconds_of(confirmed_ - now) << '|' << ahead(next_try_) << '|' << key_seen_ << seen_holder_
       << '|' << seen_index_ << '|' << seen_modify_ << '|' << acquired_after_ << '|' << token_ << '|'
       << timer_set_ << ahead(timer_) << '|' << draws_ << drop_;
  return text.str();
}

}  // namespace fennellane::lease

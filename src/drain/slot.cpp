#include "slot.hpp"

#include <algorithm>
#include <utility>

namespace fennellane::drain {

const char* name_of(Purpose purpose) {
  constexpr const char* kNames[] = {"stop", "upgrade", "release"};
  return kNames[static_cast<int>(purpose)];
}

std::string slot_problem(const SlotSettings& s, Time least_ttl) {
  if (s.ttl < least_ttl || s.ttl > std::chrono::hours(24)) return "ttl: Consul does not take it";
  if (s.renew_every <= Time::zero() || s.call <= Time::zero() || s.retry <= Time::zero())
    return "renew, call and retry: above zero";
  if (s.renew_every + s.call >= s.ttl - s.margin) return "renew + call: under ttl - margin";
  // Guards against a renew that never leaves enough of the TTL for going out.
  if (s.max_outage + s.call >= s.ttl - s.margin) return "out + call: under ttl - margin";
  return "";
}

std::vector<Effect> Slot::handle(Time now, const Input& input) {
  Effects out;
  std::visit([&](const auto& i) { on(now, i, out); }, input);
  if (call_ == Call::none) next_call(now, out);
  arm(out);
  return out;
}

// The next moment at which something is due. What waits for an answer wakes with that answer.
void Slot::arm(Effects& out) {
  std::optional<Time> due;
  const auto consider = [&due](Time at) { due = due ? std::min(*due, at) : at; };
  if (call_ == Call::none && step_ != Step::off) {
    if (step_ == Step::ending) consider(next_try_);
    if (!session_.empty() && step_ != Step::ending)
      consider(std::max(confirmed_ + settings_.renew_every, next_try_));
    if (step_ == Step::making) consider(next_try_);
    if (step_ == Step::waiting && seen_ && next_ask_ != Time::max()) consider(next_ask_);
  }
  if (due && due != timer_) {
    timer_ = due;
    out.emplace_back(SetTimer{*due});
  }
}

void Slot::watch(bool on, Effects& out) {
  if (watching_ == on) return;
  watching_ = on;
  if (!on) seen_.reset();
  out.emplace_back(WatchBudget{on});
}

void Slot::forget(Effects& out) {
  session_.clear();
  refused_at_.reset();
  reason_.clear();
  watch(false, out);
  if (!wanted_) wanted_ = std::exchange(next_, std::nullopt);
  step_ = wanted_ ? Step::making : Step::off;
}

Budget Slot::live() const {
  if (!seen_->budget) return {settings_.cap, {}};
  std::set<std::string> sessions;
  for (const Contender& c : seen_->contenders) sessions.insert(c.session);
  return pruned(*seen_->budget, sessions);
}

void Slot::next_call(Time now, Effects& out) {
  // Guards the others against a slot that stands until its TTL: one that is given back is so until Consul has
  // heard it.
  if ((!wanted_ || step_ == Step::ending) && !session_.empty()) {
    step_ = Step::ending;
    if (now >= confirmed_ + 2 * settings_.ttl) return forget(out);  // Consul has ended it by itself
    if (now < next_try_) return;
    call_ = Call::end;
    watch(false, out);
    out.emplace_back(DestroySession{session_});
    return;
  }
  if (step_ == Step::held && lasts(now)) {
    step_ = Step::offline;
    reason_.clear();
    watch(false, out);
    out.emplace_back(LogMessage{std::string("goes out to ") + name_of(*wanted_) + ", session " + session_});
    out.emplace_back(GoOffline{*wanted_, session_});
    return;
  }
  if (step_ == Step::off || now < next_try_) return;
  if (session_.empty()) {
    step_ = Step::making;
    call_ = Call::make;
    out.emplace_back(CreateSession{settings_.ttl});
    return;
  }
  if (step_ == Step::held || now >= confirmed_ + settings_.renew_every) {
    call_ = Call::renew;
    out.emplace_back(Renew{session_});
    return;
  }
  if (step_ != Step::waiting || !seen_ || now < next_ask_ || refused_at_ == seen_->index) return;
  // What the holders alone forbid only a change of the budget allows.
  Budget by_count = live();
  by_count.cap.percent = 0;
  if (const std::string full = refusal(by_count, {}, settings_.relay, settings_.zone); !full.empty())
    return wait_for(full, out);
  if (!settings_.census) return seek(now, {}, out);
  call_ = Call::census;
  out.emplace_back(ReadCensus{});
}

void Slot::wait_for(const std::string& why, Effects& out) {
  next_ask_ = Time::max();
  if (reason_ == why) return;
  ++counts_.waits;
  reason_ = why;
  out.emplace_back(LogMessage{"no slot, and serves on: " + why});
}

void Slot::seek(Time now, const Census& census, Effects& out) {
  Budget next = live();
  if (const std::string full = refusal(next, census, settings_.relay, settings_.zone); !full.empty()) {
    wait_for(full, out);
    next_ask_ = now + settings_.retry;  // the catalogue wakes nobody here
    return;
  }
  // Of an earlier session of this relay's that still lives.
  std::erase_if(next.holders, [this](const Holder& h) { return h.relay == settings_.relay; });
  next.holders.push_back({session_, settings_.relay, settings_.zone});
  call_ = Call::acquire;
  asked_at_ = seen_->index;
  out.emplace_back(AcquireSlot{session_, seen_->index, std::move(next)});
}

void Slot::hold(Effects& out) {
  step_ = Step::held;
  ++counts_.acquired;
  out.emplace_back(LogMessage{"has a slot, session " + session_});
}

void Slot::on(Time, const Ask& ask, Effects&) {
  if (wanted_ && *wanted_ != ask.purpose && ask.purpose != Purpose::stop) {
    next_ = ask.purpose;
    return;
  }
  wanted_ = ask.purpose;
  if (step_ == Step::off) step_ = Step::making;
  // One slot serves for whatever is asked for next.
  if (step_ == Step::offline) step_ = Step::held;
}

void Slot::on(Time, const Cancel& cancel, Effects& out) {
  if (next_ == cancel.purpose) next_.reset();
  if (step_ == Step::offline || wanted_ != cancel.purpose) return;
  wanted_.reset();
  reason_.clear();
  if (step_ == Step::making && call_ == Call::none) forget(out);
}

void Slot::on(Time, const OutageEnded&, Effects& out) {
  wanted_.reset();
  reason_.clear();
  if (step_ == Step::making && call_ == Call::none) forget(out);
}

// How long it has lasted is not known: a renew tells whether it still does.
void Slot::on(Time now, const Adopt& adopt, Effects&) {
  if (step_ != Step::off || adopt.session.empty()) return;
  session_ = adopt.session;
  step_ = Step::offline;
  wanted_ = Purpose::stop;
  confirmed_ = now - settings_.renew_every;
}

void Slot::on(Time now, const SessionCreated& made, Effects& out) {
  call_ = Call::none;
  session_ = made.id;
  confirmed_ = made.sent;
  step_ = Step::waiting;
  next_ask_ = now;
  if (wanted_) watch(true, out);
}

void Slot::on(Time, const RenewAnswer& answer, Effects& out) {
  call_ = Call::none;
  if (answer.alive) {
    confirmed_ = std::max(confirmed_, answer.sent);
    return;
  }
  if (has_slot()) ++counts_.lost;
  out.emplace_back(LogMessage{"session " + session_ + " is gone" + (has_slot() ? ", and its slot" : "")});
  // What went out is not called back; its slot counts as free from now on, and the catalogue as far as it
  // knows.
  if (step_ == Step::offline) wanted_.reset();
  forget(out);
}

void Slot::on(Time now, const BudgetSeen& seen, Effects& out) {
  if (!watching_) return;
  seen_ = seen;
  if (step_ != Step::waiting) return;
  if (refused_at_ && *refused_at_ != seen.index) refused_at_.reset();
  const Budget budget = live();
  const auto is_holder = [&budget](const std::string& session) {
    return std::any_of(budget.holders.begin(), budget.holders.end(),
                       [&](const Holder& h) { return h.session == session; });
  };
  // A transaction that Consul took, and whose answer was lost.
  if (call_ != Call::acquire && is_holder(session_)) return hold(out);
  // Guards the lock key against all who wait asking at once: the first in the queue asks at once, and each
  // behind it a while later, in case that those before it are gone.
  std::uint64_t mine = UINT64_MAX;
  for (const Contender& c : seen.contenders)
    if (c.session == session_) mine = c.since;
  std::size_t ahead = 0;
  for (const Contender& c : seen.contenders) ahead += c.since < mine && !is_holder(c.session) ? 1 : 0;
  const std::size_t free =
      budget.cap.max_relays > budget.holders.size() ? budget.cap.max_relays - budget.holders.size() : 1;
  next_ask_ = now + settings_.retry * static_cast<Time::rep>(ahead < free ? 0 : ahead - free + 1);
}

void Slot::on(Time now, const CensusRead& read, Effects& out) {
  call_ = Call::none;
  if (step_ != Step::waiting || !wanted_ || !seen_) return;
  // Guards the budget against a catalogue that is not heard: no slot is given by what nobody knows.
  if (!read.ok) {
    wait_for("the catalogue is not heard", out);
    next_ask_ = now + settings_.retry;
    return;
  }
  seek(now, read.census, out);
}

void Slot::on(Time, const SlotAnswer& answer, Effects& out) {
  call_ = Call::none;
  if (answer.acquired) return hold(out);
  ++counts_.refused;
  // What it named is old. A newer read may have come before this answer, and is as good as one that comes
  // after it.
  refused_at_ = asked_at_;
}

void Slot::on(Time now, const CallFailed&, Effects& out) {
  const Call failed = std::exchange(call_, Call::none);
  next_try_ = now + settings_.retry;
  if (failed == Call::make) {
    out.emplace_back(LogMessage{"no slot, and serves on: Consul is not heard"});
    if (!wanted_) forget(out);
  } else if (failed == Call::acquire) {
    // Nobody knows whether it was taken. Asked once more with the same index it is refused if it was, and the
    // next read tells.
    next_ask_ = next_try_;
  } else if (failed == Call::census) {
    next_ask_ = next_try_;
  }
}

void Slot::on(Time, const SessionDestroyed&, Effects& out) {
  call_ = Call::none;
  out.emplace_back(LogMessage{"slot given back"});
  forget(out);
}

void Slot::on(Time, const TimerExpired&, Effects&) { timer_.reset(); }

std::vector<Effect> Slot::resume(Time now) {
  Effects out;
  if (watching_) out.emplace_back(WatchBudget{true});
  timer_.reset();
  if (call_ == Call::none) {
    arm(out);
    return out;
  }
  for (Effect& e : handle(now, CallFailed{})) out.emplace_back(std::move(e));
  return out;
}

}  // namespace fennellane::drain

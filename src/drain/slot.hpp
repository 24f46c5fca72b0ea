// One relay's slot in the fleet's disruption budget, by Consul's semaphore recipe: a contender key held by a
// session, and one lock key with the cap and the holders, changed by check-and-set. Decisions only, without
// input, output or clock; a part of the reducer's state. See docs/drains.md.
//
//   relay                                    Consul
//   MakeSession (TTL, Behavior delete)   ->  PUT /v1/session/create, then PUT PREFIX/SESSION?acquire=SESSION
//   WatchBudget                          ->  blocking GET PREFIX/?recurse               -> BudgetSeen, again
//   and again ReadCensus                           ->  GET /v1/health/service/NAME                ->
//   CensusRead TakeSlot                             ->  one transaction: check-session on the contender key,
//   cas on the lock
//                                            key with the index as it was read           -> SlotAnswer
//   Renew, every `renew_every`           ->  PUT /v1/session/renew/SESSION              -> RenewAnswer
//   EndSession                           ->  PUT /v1/session/destroy/SESSION            -> Done
//
// Rules that all else rests on:
// - A slot is a session among the holders that is alive. One that is destroyed, or has lapsed, frees its slot
//   without anybody's doing: its contender key is gone, and whoever takes the next slot drops it from the
//   list.
// - A relay goes out only while its session, measured from the send of the newest confirmed call, lasts for
// the
//   longest planned outage and the margin. So it is back, or counts as down in the catalogue, before another
//   can have its slot.
// - Where Consul is not heard no slot is given, and the relay serves on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "budget.hpp"

namespace fennellane::drain {

struct SlotSettings {
  std::string relay, zone;
  Cap cap;                              // where the store has none yet
  bool census = false;                  // the catalogue is asked before a slot is taken
  Time ttl = std::chrono::seconds(60);  // of the session
  Time renew_every = std::chrono::seconds(15);
  Time margin = std::chrono::seconds(5);
  Time max_outage = std::chrono::seconds(20);  // the longest planned outage
  Time call = std::chrono::seconds(2);         // longest wait for an answer to one call
  Time retry = std::chrono::seconds(1);        // after a failed call, and for each place in the queue
  bool operator==(const SlotSettings&) const = default;
};
// Empty where its times can be kept. `least_ttl`: Consul's.
std::string slot_problem(const SlotSettings& settings, Time least_ttl);

enum class Purpose : std::uint8_t { stop, upgrade, release };
const char* name_of(Purpose purpose);

// --- What the caller tells
struct Ask {  // for a slot; a stop takes the place of whatever else is asked for, and others come after one
              // another
  Purpose purpose{};
};
struct Cancel {  // it is not wanted any more; one that is out is not called back
  Purpose purpose{};
};
struct OutageEnded {};  // it is over: the slot is given back
struct Adopt {          // an earlier life went out with this session
  std::string session;
};
struct SessionCreated {
  std::string id;
  Time sent{};  // when the create was sent
};
struct RenewAnswer {
  bool alive = false;
  Time sent{};
};
struct Contender {
  std::string session;
  std::uint64_t since = 0;  // its key's CreateIndex
};
struct BudgetSeen {
  std::optional<Budget> budget;  // none: the key is not there
  std::uint64_t index = 0;       // the lock key's ModifyIndex; 0 where it is not there
  std::vector<Contender> contenders;
};
struct CensusRead {
  bool ok = false;
  Census census;
};
struct SlotAnswer {
  bool acquired = false;  // false: the budget has changed since it was read, or the session is over
};
struct CallFailed {};        // the call out had no answer in `call`, or an error
struct SessionDestroyed {};  // the session was destroyed, or that failed
struct TimerExpired {};
using Input = std::variant<Ask, Cancel, OutageEnded, Adopt, SessionCreated, RenewAnswer, BudgetSeen,
                           CensusRead, SlotAnswer, CallFailed, SessionDestroyed, TimerExpired>;

// --- What the caller does; of the calls one at a time is out
struct CreateSession {
  Time ttl{};
};
struct Renew {
  std::string session;
};
struct WatchBudget {  // on: from now on; off: no more
  bool on = false;
};
struct ReadCensus {};
struct AcquireSlot {
  std::string session;
  std::uint64_t index = 0;  // of the lock key as read; 0: it must not be there
  Budget next;
};
struct DestroySession {
  std::string session;
};
struct GoOffline {  // now
  Purpose purpose{};
  std::string session;  // for the next life to adopt
};
struct SetTimer {
  Time at{};
};
struct LogMessage {
  std::string text;
};
using Effect = std::variant<CreateSession, Renew, WatchBudget, ReadCensus, AcquireSlot, DestroySession,
                            GoOffline, SetTimer, LogMessage>;

struct SlotCounts {
  std::uint64_t acquired = 0, refused = 0, lost = 0, waits = 0;
};

class Slot {
 public:
  enum class Step : std::uint8_t {
    off,      // no session
    making,   // the session is being made
    waiting,  // a contender
    held,     // a slot; the relay has not gone out yet
    offline,  // a slot, and the relay is out by plan
    ending,   // the session is being destroyed
  };
  explicit Slot(const SlotSettings& settings) : settings_(settings) {}

  std::vector<Effect> handle(Time now, const Input& input);

  Step step() const { return step_; }
  const std::string& session() const { return session_; }
  std::optional<Purpose> purpose() const { return wanted_; }
  const SlotCounts& counts() const { return counts_; }
  // Why it waits, in words; empty: it does not.
  const std::string& waits_for() const { return reason_; }
  // Of a process that takes over from another: goes on, and asks again for what was out.
  template <class Archive>
  void serialize_state(Archive& archive);
  std::vector<Effect> resume(Time now);

 private:
  using Effects = std::vector<Effect>;
  enum class Call : std::uint8_t { none, make, renew, census, acquire, end };
  void on(Time now, const Ask& ask, Effects& out);
  void on(Time now, const Cancel& cancel, Effects& out);
  void on(Time now, const OutageEnded&, Effects& out);
  void on(Time now, const Adopt& adopt, Effects& out);
  void on(Time now, const SessionCreated& made, Effects& out);
  void on(Time now, const RenewAnswer& answer, Effects& out);
  void on(Time now, const BudgetSeen& seen, Effects& out);
  void on(Time now, const CensusRead& read, Effects& out);
  void on(Time now, const SlotAnswer& answer, Effects& out);
  void on(Time now, const CallFailed&, Effects& out);
  void on(Time now, const SessionDestroyed&, Effects& out);
  void on(Time now, const TimerExpired&, Effects& out);
  void next_call(Time now, Effects& out);
  void seek(Time now, const Census& census, Effects& out);
  void wait_for(const std::string& why, Effects& out);
  void hold(Effects& out);
  void forget(Effects& out);
  void watch(bool on, Effects& out);
  void arm(Effects& out);
  Budget live() const;
  bool has_slot() const { return step_ == Step::held || step_ == Step::offline; }
  bool lasts(Time now) const {
    return now + settings_.max_outage < confirmed_ + settings_.ttl - settings_.margin;
  }

  SlotSettings settings_;
  Step step_ = Step::off;
  std::optional<Purpose> wanted_, next_;
  Call call_ = Call::none;
  bool watching_ = false;
  std::string session_;
  Time confirmed_{};                         // the send of the newest confirmed create or renew
  Time next_try_{};                          // no create before it
  Time next_ask_{};                          // no slot is asked for before it
  std::optional<BudgetSeen> seen_;           // newest
  std::uint64_t asked_at_ = 0;               // the index that the newest transaction named
  std::optional<std::uint64_t> refused_at_;  // the same of one that was refused
  std::string reason_;
  std::optional<Time> timer_;
  SlotCounts counts_;
};

}  // namespace fennellane::drain

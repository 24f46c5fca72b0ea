// One relay's hold on one role (work that one relay of the fleet does on behalf of all), kept on a Consul
// session and a lock key as Consul's own lock recipe does: decisions only, without input, output or clock.
// See docs/ownership.md.
//
// A relay that seeks the role reads the key and has no session while another holds it: three hundred that
// seek cost Consul a blocking read each, and no renews. Where the key is free each tries after a random part
// of `spread`, so that the first is soon there and the others see it held; where its holder has lapsed, they
// sit out the lock-delay first.
//
//   relay                                   Consul
//   CreateSession (TTL, LockDelay, release) -> PUT /v1/session/create          -> SessionMade | CallFailed
//   Acquire                                 -> PUT /v1/kv/KEY?acquire=SESSION  -> LockAnswer  | CallFailed
//   Renew, every `renew_every`              -> PUT /v1/session/renew/SESSION   -> RenewAnswer | CallFailed
//   (the caller's own blocking read)        -> GET /v1/kv/KEY?index=N           -> KeySeen
//   Release                                 -> PUT ?release=SESSION with no value, then PUT
//   /v1/session/destroy/SESSION
//                                                                               -> Done
//
// Rules that all else rests on:
// - The lease is measured on the caller's monotonic clock from the *send* of the newest create or renew that
//   Consul confirmed. Consul invalidates a session no sooner than its TTL after it *received* that call,
//   which is after the send: so while `may_act`, Consul still counts this session as the holder (less the
//   margin, which covers the two clocks' difference in rate).
// - The fencing token is the key's LockIndex while its Session is ours, as a blocking read shows it; nothing
//   acts before the token is known. Every write on behalf of the role carries the token and is refused where
//   it is stale (a Consul transaction with `check-session`, a partner that keeps the highest it has seen).
// - A role taken from us, a renew refused or the margin reached: Stop at once, before anything else.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fennellane::lease {

using Time = std::chrono::microseconds;  // a point on the caller's monotonic clock, or a span
using Token = std::uint64_t;             // the lock key's LockIndex at our acquire

struct Timing {
  Time ttl = std::chrono::seconds(15);         // of the session; Consul takes 10 s to 86,400 s
  Time renew_every = std::chrono::seconds(5);  // from the send of the last confirmed renew
  Time margin = std::chrono::seconds(2);       // acting ends so long before the TTL is up
  Time lock_delay = std::chrono::seconds(15);  // the session's LockDelay: no new holder for so long
  Time call = std::chrono::seconds(2);         // longest wait for an answer to one call
  Time retry = std::chrono::seconds(1);        // after a failed call or a refused acquire
  Time spread = std::chrono::seconds(5);       // tries at a free key are spread over so long
  bool operator==(const Timing&) const = default;
};
constexpr Time kConsulLeastTtl = std::chrono::seconds(10);  // unless its agents set session_ttl_min
// Empty where `timing` can't be kept: a renew and its answer must fit before acting ends. `least_ttl`:
// Consul's.
std::string timing_problem(const Timing& timing, Time least_ttl = kConsulLeastTtl);

// --- What the caller tells
struct Want {};    // seek the role
struct Unwant {};  // give it up: it is released and its session destroyed
struct SessionMade {
  std::string id;
  Time sent{};  // when the create was sent
};
struct LockAnswer {  // Consul's true or false to ?acquire
  bool held = false;
  Time sent{};
};
struct RenewAnswer {
  bool alive = false;  // false: 404, the session is gone
  Time sent{};
};
struct CallFailed {};  // the call out had no answer in `call`, or an error
struct KeySeen {       // from the blocking read of the key
  std::string holder;  // its Session; empty = nobody holds it
  Token lock_index = 0;
  std::uint64_t index = 0;  // its ModifyIndex: an answer older than the last one read is dropped
  bool afresh =
      false;  // Consul's index has gone backwards, as after a state that was lost: taken all the same
  // Nobody holds it, and its last holder has not released it: Consul refuses it within the lock-delay. A
  // release leaves the key without a value, a lapse leaves it with its holder's.
  bool lapsed = false;
};
struct Done {};     // the release and the destroy were answered, or failed
struct TimeDue {};  // the timer that SetTimer asked for
using Input =
    std::variant<Want, Unwant, SessionMade, LockAnswer, RenewAnswer, CallFailed, KeySeen, Done, TimeDue>;

// --- What the caller does; of the calls, one at a time is out, each answered by one input
struct CreateSession {
  Time ttl{}, lock_delay{};  // Behavior "release"
};
struct Acquire {
  std::string session;
};
struct Renew {
  std::string session;
};
struct Release {  // the key, then the session; answered by Done
  std::string session;
  bool holds = false;  // false: only the session is destroyed
};
struct Act {  // from now on, work in the role may be done, with this token, while `may_act`
  Token token = 0;
};
struct Stop {  // from now on nothing is done in the role; what is under way is called off
  std::string why;
};
struct SetTimer {
  Time at{};
};
enum class Event : std::uint8_t { session, acquired, renew_missed, lapsed, resumed, lost, given_up };
struct Say {  // a line for the log
  Event event{};
  std::string text;
};
using Effect = std::variant<CreateSession, Acquire, Renew, Release, Act, Stop, SetTimer, Say>;

class Lease {
 public:
  enum class Step : std::uint8_t {
    off,        // not wanted; no session
    waiting,    // wanted; no session while another holds the key, or until it has been read
    making,     // the session is being created
    seeking,    // a session, not the lock
    holding,    // the lock, the token not yet seen
    acting,     // the lock and its token
    lapsed,     // had the lock; no renew was confirmed in time: nothing is done until one is
    releasing,  // given up
  };
  // `seed` is this relay's own, for the moments of its tries.
  explicit Lease(const Timing& timing, std::uint64_t seed = 0);

  std::vector<Effect> handle(Time now, const Input& input);

  Step step() const { return step_; }
  // True while work in the role may be done: asked before each piece of it, on the same clock.
  bool may_act(Time now) const;
  std::optional<Token> token() const;
  const std::string& session() const { return session_; }
  // A call is out whose answer another process would never hear: it is told CallFailed first.
  bool call_out() const { return out_ != Call::none; }
  std::optional<Time> timer() const { return timer_set_ ? std::optional<Time>(timer_) : std::nullopt; }
  // For a process that takes over from this one: all of it, with points in time as they are.
  template <class Archive>
  void remember(Archive& archive);
  // All that its next decision rests on, times as offsets from `now`: two leases alike act alike.
  std::string fingerprint(Time now) const;

 private:
  enum class Call : std::uint8_t { none, create, acquire, renew, release };
  using Effects = std::vector<Effect>;
  void on(Time now, const Want&, Effects& out);
  void on(Time now, const Unwant&, Effects& out);
  void on(Time now, const SessionMade& made, Effects& out);
  void on(Time now, const LockAnswer& answer, Effects& out);
  void on(Time now, const RenewAnswer& answer, Effects& out);
  void on(Time now, const CallFailed&, Effects& out);
  void on(Time now, const KeySeen& seen, Effects& out);
  void on(Time now, const Done&, Effects& out);
  void on(Time now, const TimeDue&, Effects& out);
  void next_call(Time now, Effects& out);
  void let_go(bool holds, Effects& out);
  void act(Effects& out);
  void stop(Event event, const std::string& why, Step next, Effects& out);
  void try_later(Time now, Time least);
  void forget_session();
  Time acting_ends() const { return confirmed_ + timing_.ttl - timing_.margin; }
  bool has_lock() const { return step_ == Step::holding || step_ == Step::acting || step_ == Step::lapsed; }
  bool key_ours() const { return key_seen_ && !session_.empty() && seen_holder_ == session_; }
  // The key as last read is free, or ours: an acquire may be asked for.
  bool key_free() const { return key_seen_ && (seen_holder_.empty() || key_ours()); }

  Timing timing_;
  std::uint64_t seed_;
  std::uint64_t draws_ = 0;  // of random spans so far
  Step step_ = Step::off;
  bool wanted_ = false;
  Call out_ = Call::none;
  std::string session_;      // empty: none
  Time confirmed_{};         // the send of the newest confirmed create or renew
  Time next_try_{};          // no acquire or create before it
  std::string seen_holder_;  // of the key, as last read
  Token seen_index_ = 0;
  std::uint64_t seen_modify_ = 0;
  std::uint64_t acquired_after_ = 0;  // the key's ModifyIndex as read before our acquire
  bool key_seen_ = false;
  Token token_ = 0;    // while acting
  bool drop_ = false;  // the session has lost the lock, and is destroyed next
  bool timer_set_ = false;
  Time timer_{};
};

}  // namespace fennellane::lease

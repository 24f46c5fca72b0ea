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
constexpr Time kConsulMinTtl = std::chrono::seconds(10);  // unless its agents set session_ttl_min
// Empty where `timing` can't be kept: a renew and its answer must fit before acting ends. `least_ttl`:
// Consul's.
std::string timing_problem(const Timing& timing, Time least_ttl = kConsulMinTtl);

// --- What the caller tells
struct AcquireRole {};  // seek the role
struct ResignRole {};   // give it up: it is released and its session destroyed
struct SessionCreated {
  std::string id;
  Time sent{};  // when the create was sent
};
struct AcquireAnswered {  // Consul's true or false to ?acquire
  bool acquired = false;
  Time sent{};
};
struct RenewAnswered {
  bool session_alive = false;  // false: 404, the session is gone
  Time sent{};
};
struct CallFailed {};  // the call out had no answer in `call`, or an error
struct KeyRead {       // from the blocking read of the key
  std::string holder;  // its Session; empty = nobody holds it
  Token lock_index = 0;
  std::uint64_t modify_index = 0;  // its ModifyIndex: an answer older than the last one read is dropped
  bool index_reset =
      false;  // Consul's index has gone backwards, as after a state that was lost: taken all the same
  // Nobody holds it, and its last holder has not released it: Consul refuses it within the lock-delay. A
  // release leaves the key without a value, a lapse leaves it with its holder's.
  bool lapsed = false;
};
struct SessionReleased {};  // the release and the destroy were answered, or failed
struct TimerExpired {};     // the timer that SetTimer asked for
using Input = std::variant<AcquireRole, ResignRole, SessionCreated, AcquireAnswered, RenewAnswered,
                           CallFailed, KeyRead, SessionReleased, TimerExpired>;

// --- What the caller does; of the calls, one at a time is out, each answered by one input
struct CreateSession {
  Time ttl{}, lock_delay{};  // Behavior "release"
};
struct AcquireLock {
  std::string session;
};
struct RenewSession {
  std::string session;
};
struct ReleaseSession {  // the key, then the session; answered by Done
  std::string session;
  bool holds_lock = false;  // false: only the session is destroyed
};
struct LeaseActive {  // from now on, work in the role may be done, with this token, while `may_act`
  Token token = 0;
};
struct LeaseInactive {  // from now on nothing is done in the role; what is under way is called off
  std::string reason;
};
struct SetTimer {
  Time at{};
};
enum class LogEvent : std::uint8_t { session, acquired, renew_missed, lapsed, resumed, lost, resigned };
struct LogMessage {  // a line for the log
  LogEvent event{};
  std::string text;
};
using Effect = std::variant<CreateSession, AcquireLock, RenewSession, ReleaseSession, LeaseActive,
                            LeaseInactive, SetTimer, LogMessage>;

class Lease {
 public:
  enum class State : std::uint8_t {
    off,        // not wanted; no session
    waiting,    // wanted; no session while another holds the key, or until it has been read
    creating,   // the session is being created
    seeking,    // a session, not the lock
    holding,    // the lock, the token not yet seen
    active,     // the lock and its token
    lapsed,     // had the lock; no renew was confirmed in time: nothing is done until one is
    releasing,  // given up
  };
  // `seed` is this relay's own, for the moments of its tries.
  explicit Lease(const Timing& timing, std::uint64_t seed = 0);

  std::vector<Effect> handle(Time now, const Input& input);

  State state() const { return state_; }
  // True while work in the role may be done: asked before each piece of it, on the same clock.
  bool may_act(Time now) const;
  std::optional<Token> token() const;
  const std::string& session() const { return session_; }
  // A call is out whose answer another process would never hear: it is told CallFailed first.
  bool call_in_flight() const { return pending_call_ != Call::none; }
  std::optional<Time> timer() const { return timer_set_ ? std::optional<Time>(timer_) : std::nullopt; }
  // For a process that takes over from this one: all of it, with points in time as they are.
  template <class Archive>
  void serialize_state(Archive& archive);
  // All that its next decision rests on, times as offsets from `now`: two leases alike act alike.
  std::string fingerprint(Time now) const;

 private:
  enum class Call : std::uint8_t { none, create, acquire, renew, release };
  using Effects = std::vector<Effect>;
  void on(Time now, const AcquireRole&, Effects& out);
  void on(Time now, const ResignRole&, Effects& out);
  void on(Time now, const SessionCreated& made, Effects& out);
  void on(Time now, const AcquireAnswered& answer, Effects& out);
  void on(Time now, const RenewAnswered& answer, Effects& out);
  void on(Time now, const CallFailed&, Effects& out);
  void on(Time now, const KeyRead& seen, Effects& out);
  void on(Time now, const SessionReleased&, Effects& out);
  void on(Time now, const TimerExpired&, Effects& out);
  void next_call(Time now, Effects& out);
  void release_session(bool holds, Effects& out);
  void activate(Effects& out);
  void deactivate(LogEvent event, const std::string& why, State next, Effects& out);
  void delay_next_attempt(Time now, Time least);
  void clear_session();
  Time active_until() const { return confirmed_ + timing_.ttl - timing_.margin; }
  bool has_lock() const {
    return state_ == State::holding || state_ == State::active || state_ == State::lapsed;
  }
  bool holds_key() const { return key_read_ && !session_.empty() && key_holder_ == session_; }
  // The key as last read is free, or ours: an acquire may be asked for.
  bool key_available() const { return key_read_ && (key_holder_.empty() || holds_key()); }

  Timing timing_;
  std::uint64_t seed_;
  std::uint64_t random_draws_ = 0;  // of random spans so far
  State state_ = State::off;
  bool role_wanted_ = false;
  Call pending_call_ = Call::none;
  std::string session_;     // empty: none
  Time confirmed_{};        // the send of the newest confirmed create or renew
  Time next_attempt_{};     // no acquire or create before it
  std::string key_holder_;  // of the key, as last read
  Token key_lock_index_ = 0;
  std::uint64_t key_modify_index_ = 0;
  std::uint64_t index_before_acquire_ = 0;  // the key's ModifyIndex as read before our acquire
  bool key_read_ = false;
  Token token_ = 0;         // while acting
  bool lock_lost_ = false;  // the session has lost the lock, and is destroyed next
  bool timer_set_ = false;
  Time timer_{};
};

}  // namespace fennellane::lease

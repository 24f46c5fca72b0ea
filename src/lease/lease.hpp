// One relay's lease on one role (work that one relay of the fleet does on behalf of all), based on a Consul
// session and a lock key, as in Consul's lock recipe. Pure state machine: performs no I/O and reads no clock.
// See docs/ownership.md.
//
// A relay that seeks the role reads the key and has no session while another holds it: three hundred seeking
// relays cost Consul one blocking read each, and no renews. When the key is free, each tries after a random
// part of `spread`, so that one acquires it early and the others see it held; when its holder has expired,
// they first wait for the lock-delay.
//
// clang-format off
//   relay                                   Consul
//   CreateSession (TTL, LockDelay, release) -> PUT /v1/session/create          -> SessionCreated  | CallFailed
//   AcquireLock                             -> PUT /v1/kv/KEY?acquire=SESSION  -> AcquireAnswered | CallFailed
//   RenewSession, every `renew_every`       -> PUT /v1/session/renew/SESSION   -> RenewAnswered   | CallFailed
//   (the caller's blocking read)            -> GET /v1/kv/KEY?index=N          -> KeyRead
//   ReleaseSession                          -> PUT ?release=SESSION with no value, then
//                                              PUT /v1/session/destroy/SESSION -> SessionReleased
// clang-format on
//
// Invariants:
// - The lease is measured on the caller's monotonic clock from the *send* of the newest create or renew that
//   Consul confirmed. Consul invalidates a session no sooner than its TTL after it *received* that call,
//   which is after the send: while `may_act`, Consul still counts this session as the holder (minus the
//   margin, which covers the difference in rate of the two clocks).
// - The fencing token is the key's LockIndex while its Session is this one, as shown by a blocking read; the
//   lease is not active before the token is known. Every write on behalf of the role carries the token and is
//   refused if it is stale (by a Consul transaction with `check-session`, or by a partner that keeps the
//   highest token it has seen).
// - If the role is lost, a renew is refused or the margin is reached, LeaseInactive is emitted at once,
//   before anything else.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fennellane::lease {

using Time = std::chrono::microseconds;  // a point on the caller's monotonic clock, or a duration
using Token = std::uint64_t;             // the lock key's LockIndex at the acquire of this session

struct Timing {
  Time ttl = std::chrono::seconds(15);         // of the session; Consul accepts 10 s to 86,400 s
  Time renew_every = std::chrono::seconds(5);  // after the send of the last confirmed renew
  Time margin = std::chrono::seconds(2);       // the lease ends this long before the TTL expires
  // the session's LockDelay: no new holder for this long after a session is invalidated
  Time lock_delay = std::chrono::seconds(15);
  Time call = std::chrono::seconds(2);    // timeout of one call
  Time retry = std::chrono::seconds(1);   // delay after a failed call or a refused acquire
  Time spread = std::chrono::seconds(5);  // attempts to acquire a free key are spread over this time
  bool operator==(const Timing&) const = default;
};
constexpr Time kConsulMinTtl = std::chrono::seconds(10);  // unless its agents set session_ttl_min
// Returns what is wrong with `timing`, or an empty string: a renew and its answer must fit before the lease
// ends. `min_ttl`: Consul's minimum.
std::string timing_problem(const Timing& timing, Time min_ttl = kConsulMinTtl);

// --- Inputs
struct AcquireRole {};  // start seeking the role
struct ResignRole {};   // resign the role: the lock is released and the session destroyed
struct SessionCreated {
  std::string id;
  Time sent{};  // when the create was sent
};
struct AcquireAnswered {  // Consul's true or false in answer to ?acquire
  bool acquired = false;
  Time sent{};
};
struct RenewAnswered {
  bool session_alive = false;  // false: 404, the session does not exist any more
  Time sent{};
};
struct CallFailed {};  // the call in flight timed out or failed
struct KeyRead {       // from the blocking read of the key
  std::string holder;  // its Session; empty = the lock is free
  Token lock_index = 0;
  std::uint64_t modify_index = 0;  // the key's ModifyIndex: an answer older than the last one is ignored
  // Consul's index has gone backwards, as after a loss of its state: the answer is used although its index is
  // lower
  bool index_reset = false;
  // The lock is free and its last holder has not released it: Consul refuses it during the lock-delay. A
  // release leaves the key without a value, an expiry leaves the holder's value.
  bool lapsed = false;
};
struct SessionReleased {};  // the release and the destroy were answered or failed
struct TimerExpired {};     // the timer set by SetTimer
using Input = std::variant<AcquireRole, ResignRole, SessionCreated, AcquireAnswered, RenewAnswered,
                           CallFailed, KeyRead, SessionReleased, TimerExpired>;

// --- Effects. One call at a time is in flight; each is answered by one input.
struct CreateSession {
  Time ttl{}, lock_delay{};  // Behavior "release"
};
struct AcquireLock {
  std::string session;
};
struct RenewSession {
  std::string session;
};
struct ReleaseSession {  // releases the key, then destroys the session; answered by SessionReleased
  std::string session;
  bool holds_lock = false;  // false: only the session is destroyed
};
struct LeaseActive {  // work in the role is allowed with this token while `may_act`
  Token token = 0;
};
struct LeaseInactive {  // work in the role must stop; work in progress is cancelled
  std::string reason;
};
struct SetTimer {
  Time at{};
};
enum class LogEvent : std::uint8_t { session, acquired, renew_missed, lapsed, resumed, lost, resigned };
struct LogMessage {
  LogEvent event{};
  std::string text;
};
using Effect = std::variant<CreateSession, AcquireLock, RenewSession, ReleaseSession, LeaseActive,
                            LeaseInactive, SetTimer, LogMessage>;

class Lease {
 public:
  enum class State : std::uint8_t {
    off,      // the role is not sought; no session
    waiting,  // the role is sought; no session while another holds the key, or until the key has been read
    creating,
    seeking,    // has a session, not the lock
    holding,    // has the lock, the token has not been read yet
    active,     // has the lock and its token
    lapsed,     // had the lock; no renew was confirmed in time: no work is done until one is
    releasing,  // the lock or the session is being released
  };
  // `seed` must differ between relays; it randomizes the times of attempts.
  explicit Lease(const Timing& timing, std::uint64_t seed = 0);

  std::vector<Effect> handle(Time now, const Input& input);

  State state() const { return state_; }
  // True while work in the role may be done. Must be checked before each piece of work, on the same clock.
  bool may_act(Time now) const;
  std::optional<Token> token() const;
  const std::string& session() const { return session_; }
  // A call is in flight. A process that takes over cannot receive its answer, so it is given CallFailed
  // first.
  bool call_in_flight() const { return pending_call_ != Call::none; }
  std::optional<Time> timer() const { return timer_set_ ? std::optional<Time>(timer_) : std::nullopt; }
  // Serializes all state, with points in time unchanged, for a process that takes over from this one.
  template <class Archive>
  void serialize_state(Archive& archive);
  // All state that the next decision depends on, with times as offsets from `now`: two leases with equal
  // fingerprints behave alike.
  std::string fingerprint(Time now) const;

 private:
  enum class Call : std::uint8_t { none, create, acquire, renew, release };
  using Effects = std::vector<Effect>;
  void on(Time now, const AcquireRole&, Effects& effects);
  void on(Time now, const ResignRole&, Effects& effects);
  void on(Time now, const SessionCreated& created, Effects& effects);
  void on(Time now, const AcquireAnswered& answer, Effects& effects);
  void on(Time now, const RenewAnswered& answer, Effects& effects);
  void on(Time now, const CallFailed&, Effects& effects);
  void on(Time now, const KeyRead& key, Effects& effects);
  void on(Time now, const SessionReleased&, Effects& effects);
  void on(Time now, const TimerExpired&, Effects& effects);
  void next_call(Time now, Effects& effects);
  void release_session(bool holds, Effects& effects);
  void activate(Effects& effects);
  void deactivate(LogEvent event, const std::string& reason, State next_state, Effects& effects);
  void delay_next_attempt(Time now, Time min_delay);
  void clear_session();
  Time active_until() const { return confirmed_ + timing_.ttl - timing_.margin; }
  bool has_lock() const {
    return state_ == State::holding || state_ == State::active || state_ == State::lapsed;
  }
  bool holds_key() const { return key_read_ && !session_.empty() && key_holder_ == session_; }
  // The key as last read is free or held by this session, so an acquire may be sent.
  bool key_available() const { return key_read_ && (key_holder_.empty() || holds_key()); }

  Timing timing_;
  std::uint64_t seed_;
  std::uint64_t random_draws_ = 0;  // number of random delays drawn
  State state_ = State::off;
  bool role_wanted_ = false;
  Call pending_call_ = Call::none;
  std::string session_;     // empty: none
  Time confirmed_{};        // when the last confirmed create or renew was sent
  Time next_attempt_{};     // no acquire or create before this time
  std::string key_holder_;  // of the key, as last read
  Token key_lock_index_ = 0;
  std::uint64_t key_modify_index_ = 0;
  std::uint64_t index_before_acquire_ = 0;  // the key's ModifyIndex as read before the acquire
  bool key_read_ = false;
  Token token_ = 0;         // while active
  bool lock_lost_ = false;  // the session has lost the lock and is destroyed next
  bool timer_set_ = false;
  Time timer_{};
};

}  // namespace fennellane::lease

// Public interface of starlinghook: settings, events, actions, and the Forwarder, which turns events into
// actions. All decisions are made in src/delivery_policy.cpp, which also holds their constants.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace starlinghook {

using Time = std::chrono::microseconds;  // point in time on the caller's clock, or a duration
using MessageId = std::uint64_t;
using EndpointId = std::uint32_t;
using DestinationId = std::uint32_t;

enum class Effect { safe, keyed, unsafe };
// Which endpoints of a destination drop repeats: all of them, or those of one zone.
enum class KeyScope { all, zone };
enum class LateWorthDecay { linear, exponential };

struct ClassSettings {
  Effect effect = Effect::unsafe;
  KeyScope key_scope = KeyScope::all;
  Time aim{};           // full worth until then
  Time deadline{};      // counted from the first submission of the message
  Time dedup_window{};  // keyed: repeats are dropped within this time
  double worth = 1;
  double late_worth = 0;    // share of the worth left at the deadline
  bool sequential = false;  // messages with the same key are delivered in order
};

struct TenantSettings {
  double rate = 0;  // messages a second within the tenant's share, over all forwarders; 0 = no limit known
};

struct KindSettings {
  bool separate_routes = false;  // each endpoint has its own limit, pace and outages
  std::size_t max_batch = 1;     // messages that may share one call
};

struct Settings {
  std::uint64_t seed = 0;
  std::uint32_t index = 0;       // this forwarder's position among its peers
  std::uint32_t forwarders = 1;  // number of forwarders, including this one
  std::uint32_t zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<KindSettings> kinds;
  LateWorthDecay late_worth_decay = LateWorthDecay::linear;
  double over_share_worth = 1;
  std::size_t slots = 1;     // maximum number of calls in flight
  std::size_t max_held = 1;  // maximum number of messages held, sent or not
  std::uint32_t max_attempts = 1;
  Time connect_timeout{};
  Time connection_idle_timeout{};
  std::size_t calls_per_connection = 1;  // concurrent calls on one connection
  Time max_retry_after{};                // longest Retry-After that clients honour
  Time resolution{};                     // shortest interval between events that count as separate in time
  Time answer_slack{};
  bool can_cancel = false;
  bool can_probe = false;
  bool can_send_retry_after = false;
  bool list_on_request = false;    // changes arrive only after a WatchList or FetchList
  bool rates_approximate = false;  // listed rates may be half too high or too low
  double cross_zone_price = 0;
  double probe_price = 0;
  bool reports_allowance = false;  // outcomes report the remaining allowance and the limit
  // Parameters of the delivery rules.
  Time drain_grace{};
  Time slow_start_time{};           // capacity is fully restored this long after an outage
  double slow_start_min_share = 1;  // share of its capacity that a destination has when it returns
  double overload_factor = 1;
  Time overload_window{};
  Time key_quiet_time{};
  Time max_list_request_delay{};
};

enum class Condition { gone, ready, draining };

struct EndpointEntry {
  EndpointId endpoint = 0;
  DestinationId destination = 0;
  std::uint32_t zone = 0;
  std::uint32_t kind = 0;
  double rate = 0;  // calls a second from all forwarders; 0 = unknown
  Condition condition = Condition::ready;
};

enum class Outcome { error, delivered, full, timeout, connect_failed, reset, cancelled, not_sent };

struct LoadReport {
  bool present = false;
  double allowance_left = 0;  // share, 0 to 1
  double limit = 0;           // calls a second; 0 = none
};

// --- Events
struct MessageArrived {
  MessageId id = 0;
  std::uint32_t message_class = 0;
  std::uint32_t tenant = 0;
  DestinationId destination = 0;
  std::uint64_t key = 0;
  Time time_left{};
  // What a previous process of the caller did for the message; all zero for a new message.
  std::uint32_t attempts = 0;
  bool may_have_run = false;
  Time uncertain_age{};  // time since the start of the first attempt that may have run
  std::uint32_t uncertain_zone = 0;
  // More held messages follow right after this one: nothing is sent or given up before all are known.
  bool more_follow = false;
};
struct MessageDropped {
  MessageId id = 0;
};
struct AttemptEnded {
  MessageId id = 0;
  std::uint32_t attempt = 0;
  EndpointId endpoint = 0;
  Outcome outcome = Outcome::error;
  bool finished = false;  // the message has its final answer
  Time retry_after{};     // full: wait requested by the destination; 0 = none
  bool no_slot = false;   // not_sent: every slot was in use
  LoadReport report;
  // What the caller observed on the connection. `connection_only` is set for a failure that concerns only its
  // connection: the connection was up and broke, or (full) the endpoint had no room for it.
  bool connection_only = false;
  // Idle time of the connection before the call; 0 = new connection, negative = unknown.
  Time connection_idle{-1};
  bool connection_closed = false;  // the connection carries no further calls, whatever this outcome
  bool close_requested = false;    // the call asked for the close, so the close carries no information
};
struct ProbeEnded {
  EndpointId endpoint = 0;
  Outcome outcome = Outcome::error;
  Time retry_after{};
  LoadReport report;
};
struct ListChanged {
  bool full = false;    // replaces the list; endpoints not in it are gone
  bool cached = false;  // saved by a previous process and possibly out of date
  std::vector<EndpointEntry> entries;
};
struct ListFailed {};
struct TimerExpired {
  std::uint64_t label = 0;
};
struct ShutdownScheduled {  // the process ends at that time; the next process takes over the held messages
  Time at{};
};
// The fleet has reached its cap on endpoints in backoff: failures of the exempt endpoints put none of them
// into backoff, and only their slow-start budget limits calls to them. Replaces the previous event; empty: no
// endpoint is exempt.
struct BackoffCapped {
  std::vector<EndpointId> exempt;
};
// Whether the caller can record attempts. While it cannot, no message is sent whose effect must not be
// repeated: after a restart nobody would know of the attempt.
struct RecordingChanged {
  bool available = true;
};
using Event = std::variant<MessageArrived, MessageDropped, AttemptEnded, ProbeEnded, ListChanged, ListFailed,
                           TimerExpired, ShutdownScheduled, BackoffCapped, RecordingChanged>;

// --- Actions
struct Send {
  MessageId id = 0;
  EndpointId endpoint = 0;
  Time timeout{};
  Time max_idle = Time::max();  // a connection that has been idle for longer is not used
  // The call's first byte is written within this time, or the call is not made.
  Time begin_within = Time::max();
};
// Why a message is given up: to free capacity, because no call would end before the deadline, after its last
// attempt, because an attempt may have run and must not be repeated, or because the answer came after the
// deadline.
enum class GiveUpReason { none, capacity, deadline, attempts, uncertain, answered_late };
struct Refuse {  // undelivered; may safely be submitted again
  MessageId id = 0;
  Time retry_after{};
  GiveUpReason reason = GiveUpReason::none;
};
struct Fail {
  MessageId id = 0;
  GiveUpReason reason = GiveUpReason::none;
};
struct Cancel {
  MessageId id = 0;
  std::uint32_t attempt = 0;
};
struct Probe {
  EndpointId endpoint = 0;
};
struct SetTimer {
  Time at{};
  std::uint64_t label = 0;
};
struct CloseIdleConnections {  // the forwarder's idle connections to an endpoint
  EndpointId endpoint = 0;
};
struct WatchList {};
struct FetchList {};
struct LogMessage {
  std::string text;
};
using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, CloseIdleConnections, SetTimer, WatchList,
                            FetchList, LogMessage>;

// An endpoint that the list calls ready but that does not get its full pace: it is failing and in backoff, in
// slow start after an outage, or its answers report less than half of its limit.
enum class DegradationKind { failing, slow_start, reduced_limit };
struct DegradedEndpoint {
  EndpointId endpoint = 0;
  DegradationKind kind{};
  double failure_share = 0;  // recent share of failures, 0 to 1
};

class SnapshotError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Forwarder {
 public:
  explicit Forwarder(const Settings& settings);
  ~Forwarder();
  Forwarder(Forwarder&&) noexcept;
  Forwarder& operator=(Forwarder&&) noexcept;

  // Starts the forwarder; must precede any event.
  void start(Time now, std::vector<Action>& actions);
  // Handles one event; `now` must not decrease. Appends actions in the order in which they are to be
  // executed.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  // Number of records held: messages, calls, endpoints and keys.
  std::size_t record_count() const;
  // As of the newest event.
  std::vector<DegradedEndpoint> degraded_endpoints() const;

  // Serializes the complete state. Only the same snapshot version can read it.
  std::string save() const;
  // Restores a forwarder that continues exactly where the saved one stopped. `settings` may differ where held
  // state does not depend on them. Throws SnapshotError if the bytes are of another version or do not match
  // the settings.
  static Forwarder load(const Settings& settings, std::string_view bytes);

 private:
  class Policy;
  std::unique_ptr<Policy> policy_;
};

}  // namespace starlinghook

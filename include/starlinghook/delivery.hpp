// The interface of starlinghook: settings, events, actions and the Forwarder that turns the one into the
// other. Every decision is in src/delivery_policy.cpp; nothing here tunes it.
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

using Time = std::chrono::microseconds;  // a point on the caller's clock, or a span
using MessageId = std::uint64_t;
using EndpointId = std::uint32_t;
using DestinationId = std::uint32_t;

enum class Effect { safe, keyed, unsafe };
// Which endpoints of a destination drop repeats: all, or those of one zone.
enum class KeyScope { all, zone };
enum class LateWorthDecay { linear, exponential };

struct ClassSettings {
  Effect effect = Effect::unsafe;
  KeyScope key_scope = KeyScope::all;
  Time aim{};           // full worth until then
  Time deadline{};      // from the first time the message was handed in
  Time dedup_window{};  // keyed: repeats are dropped for this long
  double worth = 1;
  double late_worth = 0;    // share of the worth left at the deadline
  bool sequential = false;  // messages with one key keep their order
};

struct TenantSettings {
  double rate = 0;  // messages a second inside the share, over all forwarders; 0 = no bound told
};

struct KindSettings {
  bool separate_routes = false;  // endpoints have limits, pace and outages of their own
  std::size_t max_batch = 1;     // messages that may share one call
};

struct Settings {
  std::uint64_t seed = 0;
  std::uint32_t index = 0;       // this forwarder among its peers
  std::uint32_t forwarders = 1;  // how many there are
  std::uint32_t zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<KindSettings> kinds;
  LateWorthDecay late_worth_decay = LateWorthDecay::linear;
  double over_share_worth = 1;
  std::size_t slots = 1;     // calls that may be out at once
  std::size_t max_held = 1;  // messages that may be held, sent or not
  std::uint32_t max_attempts = 1;
  Time connect_timeout{};
  Time connection_idle_timeout{};
  std::size_t calls_per_connection = 1;  // that one connection carries at once
  Time max_retry_after{};                // the longest advice that a client heeds
  Time resolution{};                     // shortest gap between two events that are not of one moment
  Time answer_slack{};
  bool can_cancel = false;
  bool can_probe = false;
  bool can_send_retry_after = false;
  bool list_on_request = false;    // changes come only after a watch or fetch
  bool rates_approximate = false;  // listed rates are up to half too high or too low
  double cross_zone_price = 0;
  double probe_price = 0;
  bool reports_allowance = false;  // outcomes carry the allowance left and the limit
  // Figures of the rules.
  Time drain_grace{};
  Time slow_start_time{};           // after an outage all capacity is back by then
  double slow_start_min_share = 1;  // share of its capacity that a destination has at its return
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
  double rate = 0;  // calls a second from all forwarders; 0 = not told
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
  // What an earlier life of the caller did for it; all zero for a message that is new.
  std::uint32_t attempts = 0;
  bool may_have_run = false;
  Time uncertain_age{};  // since the first attempt that may have run was sent
  std::uint32_t uncertain_zone = 0;
  // Others that are held as well are told right after it: nothing is sent, or given up, before all are known.
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
  Time retry_after{};     // full: wait told by the destination; 0 = none
  bool no_slot = false;   // not_sent: every slot was taken
  LoadReport report;
  // What the caller's connection showed.
  // A failure that tells of its connection alone: that was up and broke; full: it found no place.
  bool connection_only = false;
  Time connection_idle{-1};        // of the connection before the call; 0 = a new one, less = not told
  bool connection_closed = false;  // it carries no other call, however this one ended
  bool close_requested = false;    // by the call: that it closed tells nothing
};
struct ProbeEnded {
  EndpointId endpoint = 0;
  Outcome outcome = Outcome::error;
  Time retry_after{};
  LoadReport report;
};
struct ListChanged {
  bool full = false;    // replaces the list; what is not in it is gone
  bool cached = false;  // saved by an earlier life, maybe old
  std::vector<EndpointEntry> entries;
};
struct ListFailed {};
struct TimerExpired {
  std::uint64_t label = 0;
};
struct ShutdownScheduled {  // the process ends at that moment; what is held goes to its next life
  Time at{};
};
// The forwarders together rest as many endpoints as they may: failures of these let none of them rest, and
// only what a cold destination stands bounds their calls. Replaces the one before; empty: no such bound.
struct BackoffCapped {
  std::vector<EndpointId> exempt;
};
// Whether the caller can record attempts. While it can't, no message is sent whose effect must not be
// doubled: after a restart nobody would know of the attempt.
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
  Time max_idle = Time::max();      // a connection that has stood idle for longer is not used
  Time begin_within = Time::max();  // the call's first byte is written by then, or none is
};
// Why a message is given up: to make room for others, since no call would end in time, after its last
// attempt, since one may have run and none may follow, or since it was answered when its time was up.
enum class GiveUpReason { none, capacity, deadline, attempts, uncertain, answered_late };
struct Refuse {  // undelivered, may safely come again
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
struct CloseIdleConnections {  // idle connections of this forwarder to an endpoint
  EndpointId endpoint = 0;
};
struct WatchList {};
struct FetchList {};
struct LogMessage {
  std::string text;
};
using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, CloseIdleConnections, SetTimer, WatchList,
                            FetchList, LogMessage>;

// What a forwarder has learnt of an endpoint that the list calls ready and that is not given its full pace:
// it rests, is cold after an outage, or answers tell of less than half of its limit.
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

  // The first moment of this life, before any event.
  void start(Time now, std::vector<Action>& actions);
  // One event; time never goes backwards. Actions are appended in the order in which they are to be carried
  // out.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  // How much it remembers: messages, calls, endpoints and keys.
  std::size_t record_count() const;
  // As of the newest event.
  std::vector<DegradedEndpoint> degraded_endpoints() const;

  // All that it remembers, as bytes; of no use to another version.
  std::string save() const;
  // A forwarder that goes on exactly where the saved one stood. `settings` may differ where it does not
  // matter to what is held. Throws MemoryError for bytes of another version, or that do not fit.
  static Forwarder load(const Settings& settings, std::string_view bytes);

 private:
  class Policy;
  std::unique_ptr<Policy> policy_;
};

}  // namespace starlinghook

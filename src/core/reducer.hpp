// The relay's state machine. It takes an input and a time and returns effects to execute, in order. Pure:
// performs no I/O, reads no clock and knows no protocol. Delivery decisions are made by the starlinghook
// module: the reducer translates inputs into its events and its actions into effects.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "admission_outcome.hpp"
#include "cluster.hpp"
#include "counters.hpp"
#include "ended_messages.hpp"
#include "limits.hpp"
#include "message_fingerprint.hpp"
#include "roles.hpp"
#include "stream.hpp"

namespace fennellane {

using HostId = starlinghook::EndpointId;
using RequestHandle = std::uint64_t;  // identifies the request that an answer belongs to

// --- Inputs
struct Started {
  StreamId next_stream = 0;  // streams below it belong to previous processes
};
struct MessageSubmitted {  // a client has submitted a message
  RequestHandle request = 0;
  std::string id;
  std::uint32_t message_class = 0;
  std::uint32_t tenant = 0;
  std::uint32_t destination = 0;
  Time time_left{};
  Body body;
  bool journal_has_room = true;
  std::string idempotency_key = {};  // empty: none
};
struct MessageRestored {  // a message from the journal of a previous process
  StreamId stream = 0;
  JournalEntry entry;
  Time time_left{};
  Time attempt_age{};  // since the attempt in flight started, and since the first attempt that may have run
  Time uncertain_age{};
  bool more_follow = false;  // another restored message follows immediately
};
struct CallEnded {
  StreamId stream = 0;
  std::uint32_t attempt = 0;
  starlinghook::Outcome outcome = starlinghook::Outcome::error;
  bool ended_elsewhere = false;  // the message has ended elsewhere
  Time retry_after{};
  bool no_slot = false;
  starlinghook::LoadReport report;
  // the established connection broke; with outcome full: the host had no capacity for the connection
  bool connection_only = false;
  Time idle{};                    // idle time of the connection before the call; 0 = a new connection
  bool connection_closed = true;  // it can carry no further call
  bool close_requested = false;   // by the call
};
struct ClusterChanged {
  HostList list;
  bool cached = false;
};
struct NoticeAccepted {
  StreamId stream = 0;
};
// The effect RecordAccepted of a message failed and its client was refused: the message is dropped as if it
// had never been submitted.
struct RecordingFailed {
  StreamId stream = 0;
};
struct StorageChanged {
  bool writable = true;
};
struct TimerExpired {};
struct StopRequested {
  Time last_call{};  // no call may last longer than this
};
struct FleetPlanReceived {  // the fleet roles this relay may hold; sent at most once
  fleet::Plan plan;
};
struct FleetInput {
  fleet::Input input;
};
using Input =
    std::variant<Started, MessageSubmitted, MessageRestored, CallEnded, ClusterChanged, NoticeAccepted,
                 RecordingFailed, StorageChanged, TimerExpired, StopRequested, FleetPlanReceived, FleetInput>;

// --- Effects
struct RecordAccepted {
  StreamId stream = 0;
  JournalEntry entry;  // without its deadline, which is on a different clock
  Time time_left{};
};
struct RecordAttempt {
  StreamId stream = 0;
  std::uint32_t attempt = 0;
  std::uint32_t zone = 0;
  bool required = true;  // the call may be sent only after this is recorded
};
struct RecordOutcome {
  StreamId stream = 0;
  bool may_have_run = false;
};
struct RecordGivenUp {
  StreamId stream = 0;
  Verdict verdict{};
  Time retry_after{};
  starlinghook::GiveUpReason reason{};  // for the flight record; not written to the journal
};
struct RecordEnded {
  StreamId stream = 0;
};
// unknown_destination: no such destination
enum class AdmissionReply { accepted, refused, unknown_destination };
struct SendAnswer {
  RequestHandle request = 0;
  AdmissionReply reply{};
  Time retry_after{};  // if refused: when to retry; 0 = unspecified
  AdmissionOutcome admission{};
  StreamId stream = 0;  // of an accepted message
};
struct StartCall {
  StreamId stream = 0;
  std::uint32_t attempt = 0;
  HostId host = 0;
  Address address;
  std::string id;
  Body body;
  Time timeout{};
  Time max_idle = Time::max();  // only use a connection that has been idle no longer than this
  // time limit for writing the call's first byte; past it the call ends as connect_failed
  Time begin_within = Time::max();
  std::string idempotency_key;  // empty: none
};
struct CancelCall {
  StreamId stream = 0;
  std::uint32_t attempt = 0;
};
struct CancelUnsentCall {  // cancels the call if none of its bytes has been written
  StreamId stream = 0;
  std::uint32_t attempt = 0;
};
struct CloseIdleConnections {
  HostId host = 0;
};
struct RetireHost {  // closes the host's connections: idle ones at once, others when their calls end
  HostId host = 0;
};
struct PostNotice {
  StreamId stream = 0;
  std::string id;
  Verdict verdict{};
  Time retry_after{};
};
struct SetTimer {  // replaces the previous timer
  Time at{};
};
struct LogMessage {
  std::string text;
};
struct FleetEffect {
  fleet::Effect effect;
};
using Effect = std::variant<RecordAccepted, RecordAttempt, RecordOutcome, RecordGivenUp, RecordEnded,
                            SendAnswer, StartCall, CancelCall, CancelUnsentCall, CloseIdleConnections,
                            RetireHost, PostNotice, SetTimer, LogMessage, FleetEffect>;

class Reducer {
 public:
  Reducer(const starlinghook::Settings& settings, const Limits& limits, StreamId next_stream,
          Counters& counters);

  std::vector<Effect> reduce(Time now, const Input& input);

  // Serializes all state except message bodies, including the module's state. Only the same version can load
  // it.
  std::string save();
  // Restores saved state into a reducer that has had no input; bodies come from `body_of` (null: not
  // available). Throws starlinghook::SnapshotError for bytes of another version or that do not match the
  // settings, and for a missing body; the reducer must not be used after that.
  using BodyLookup = std::function<Body(StreamId)>;
  void load(const starlinghook::Settings& settings, std::string_view bytes, const BodyLookup& body_of);
  Time next_timer() const { return timer_; }  // the time of the last SetTimer, or Time::max()

  // Null if the relay seeks no fleet role.
  const fleet::Fleet* fleet() const { return fleet_ ? &*fleet_ : nullptr; }

  // The Retry-After for a refused client.
  Time refusal_retry_after() const { return refusal_retry_after_; }

  std::size_t streams() const { return streams_.size(); }
  std::size_t hosts() const { return cluster_.size(); }
  // Number of stored records of streams, hosts and ids, including the module's.
  std::size_t record_count() const {
    return streams_.size() + stream_ids_.size() + ended_.record_count() + host_ids_.size() + cluster_.size() +
           forwarder_.record_count();
  }

 private:
  struct Stream {
    std::string id;
    std::string idempotency_key;
    MessageFingerprint fingerprint;
    Body body;
    std::uint32_t attempts = 0;
    bool repeatable = false;  // may be sent any number of times
    HostId host = 0;          // of the newest attempt; remains in the cluster while the attempt is in flight
    bool in_flight = false;
    bool given_up = false;
    Time late_at = Time::max();  // when its class's aim expires; unknown for a message of a previous process
    Time deadline{};
    template <class Archive>
    void serialize(Archive& archive);
  };
  template <class Archive>
  void serialize_state(Archive& archive);
  std::string save_fleet();
  bool load_fleet();

  void on(const Started&);
  void on(const MessageSubmitted&);
  void on(const MessageRestored&);
  void on(const CallEnded&);
  void on(const ClusterChanged&);
  void on(const NoticeAccepted&);
  void on(const RecordingFailed&);
  void on(const StorageChanged&);
  void on(const TimerExpired&);
  void on(const StopRequested&);
  void on(const FleetPlanReceived&);
  void on(const FleetInput&);

  // The ejection cap: the endpoints that this relay reports, and those that must not back off.
  ejection::View ejection_view() const;
  std::vector<std::string> hosts_exempt_from_backoff(const std::vector<ejection::Listed>& listed) const;
  void cap_backoffs();
  void handle_event(const starlinghook::Event& event);
  void execute(const starlinghook::Send& action);
  void execute(const starlinghook::Refuse& action);
  void execute(const starlinghook::Fail& action);
  void execute(const starlinghook::Cancel& action);
  void execute(const starlinghook::CloseIdleConnections& action);
  void execute(const starlinghook::SetTimer& action);
  void execute(const starlinghook::LogMessage& action);
  // never requested: the settings disable probes and list fetching
  void execute(const starlinghook::Probe&) {}
  void execute(const starlinghook::WatchList&) {}
  void execute(const starlinghook::FetchList&) {}

  // The fingerprint of the message with this id that is held or ended recently; null if there is none.
  const MessageFingerprint* find_known_message(const std::string& id) const;
  // Why a message whose id is unknown is not accepted, or `accepted`.
  AdmissionOutcome check_admission(const MessageSubmitted& submitted) const;
  void refuse(RequestHandle request, AdmissionOutcome reason);
  std::uint64_t& refusal_counter(AdmissionOutcome reason);
  void accept(const MessageSubmitted& submitted, JournalEntry entry);
  Stream& add_stream(StreamId id, const JournalEntry& entry);
  void give_up(StreamId stream, Verdict verdict, Time retry_after, starlinghook::GiveUpReason reason);
  bool answered_too_late(const Stream& stream, const CallEnded& call) const;
  template <class Predicate>
  void cancel_unsent_calls(Predicate matches);  // by the call's host
  static bool has_moved(const HostEntry& before, const HostEntry& now);
  void end_message(std::map<StreamId, Stream>::iterator it);
  HostId intern(const std::string& host);
  void forget_if_gone(HostId host);
  template <class E>
  void emit(E e) {
    effects_.emplace_back(std::move(e));
  }

  const Limits& limits_;
  Counters& counters_;
  std::vector<Time> aims_;        // by class
  std::vector<bool> repeatable_;  // by class
  const Time refusal_retry_after_;
  starlinghook::Forwarder forwarder_;
  Time now_{};
  std::vector<Effect> effects_;
  std::vector<starlinghook::Action> actions_;
  StreamId next_stream_;
  std::map<StreamId, Stream> streams_;
  std::size_t given_up_ = 0;  // of these, given up and waiting for their notice to be accepted
  std::unordered_map<std::string, StreamId> stream_ids_;
  EndedMessages ended_;
  std::unordered_map<std::string, HostId> host_ids_;
  // The cluster: hosts listed by discovery, and removed hosts that still have calls in flight.
  struct Host {
    HostEntry entry;
    std::size_t calls_in_flight = 0;
    template <class Archive>
    void serialize(Archive& archive);
  };
  std::map<HostId, Host> cluster_;
  HostId next_host_ = 0;
  std::vector<bool> destinations_;  // destinations that discovery has ever listed
  bool storage_writable_ = true;
  bool host_list_received_ = false;  // this process has received a complete list from discovery
  Time timer_ = Time::max();
  std::optional<fleet::Fleet> fleet_;
  std::string fleet_snapshot_;  // from the previous process, until the plan is received
};

}  // namespace fennellane

// The one place where the relay's state changes. It takes an input at a moment and says what is to be done,
// in order; it reads no clock and does no input or output, and knows of no protocol. All decisions are the
// module's: the reducer turns inputs into its events and its actions into effects.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "admission_outcome.hpp"
#include "cluster.hpp"
#include "counters.hpp"
#include "limits.hpp"
#include "roles.hpp"
#include "stream.hpp"

namespace fennellane {

using HostId = starlinghook::EndpointId;
using RequestHandle = std::uint64_t;  // where the answer to a request goes

// --- Inputs
struct Started {
  StreamId next_stream = 0;  // streams below it are of earlier lives
};
struct MessageSubmitted {  // a message that a client hands in
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
struct MessageRestored {  // a message of an earlier life
  StreamId stream = 0;
  JournalEntry entry;
  Time time_left{};
  Time attempt_age{};  // since the attempt that was out started, and since the first that may have run
  Time uncertain_age{};
  bool more_follow = false;  // another one comes right after it
};
struct CallEnded {
  StreamId stream = 0;
  std::uint32_t attempt = 0;
  starlinghook::Outcome outcome = starlinghook::Outcome::error;
  bool ended_elsewhere = false;  // the message has ended elsewhere
  Time retry_after{};
  bool no_slot = false;
  starlinghook::LoadReport report;
  bool connection_only = false;   // the connection was up and broke; full: the host had no place for it
  Time idle{};                    // of the connection before the call; 0 = a new one
  bool connection_closed = true;  // it carries no other call
  bool close_requested = false;   // by the call
};
struct ClusterChanged {
  HostList list;
  bool cached = false;
};
struct NoticeAccepted {
  StreamId stream = 0;
};
// A message whose RecordTaken could not be carried out, and whose client has heard a refusal: as if it had
// never come.
struct RecordingFailed {
  StreamId stream = 0;
};
struct StorageChanged {
  bool writable = true;
};
struct TimerExpired {};
struct StopRequested {
  Time last_call{};  // no call may last longer
};
struct FleetPlanReceived {  // which roles of the fleet this relay may hold; at most once
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
  JournalEntry entry;  // without its deadline, which is on another clock
  Time time_left{};
};
struct RecordAttempt {
  StreamId stream = 0;
  std::uint32_t attempt = 0;
  std::uint32_t zone = 0;
  bool required = true;  // the call may only go out once this is recorded
};
struct RecordOutcome {
  StreamId stream = 0;
  bool may_have_run = false;
};
struct RecordGivenUp {
  StreamId stream = 0;
  Verdict verdict{};
  Time retry_after{};
  starlinghook::GiveUpReason reason{};  // for those who ask; not in the journal
};
struct RecordEnded {
  StreamId stream = 0;
};
enum class AdmissionReply { accepted, refused, unknown_destination };  // unknown: no such destination
struct SendAnswer {
  RequestHandle request = 0;
  AdmissionReply reply{};
  Time retry_after{};  // refused: when to come back; 0 = no advice
  AdmissionOutcome admission{};
  StreamId stream = 0;  // of one that is taken on
};
struct StartCall {
  StreamId stream = 0;
  std::uint32_t attempt = 0;
  HostId host = 0;
  Address address;
  std::string id;
  Body body;
  Time timeout{};
  Time max_idle = Time::max();      // over a connection that has stood idle for no longer
  Time begin_within = Time::max();  // until the call's first byte is written; else it could not connect
  std::string idempotency_key;      // empty: none
};
struct CancelCall {
  StreamId stream = 0;
  std::uint32_t attempt = 0;
};
struct CancelUnsentCall {  // the call is taken back if no byte of it has been written
  StreamId stream = 0;
  std::uint32_t attempt = 0;
};
struct CloseIdleConnections {
  HostId host = 0;
};
struct RetireHost {  // its connections close: idle ones at once, others as their calls end
  HostId host = 0;
};
struct PostNotice {
  StreamId stream = 0;
  std::string id;
  Verdict verdict{};
  Time retry_after{};
};
struct SetTimer {  // replaces the one before
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

  // All that it remembers but the bodies, the module's part included, as bytes; of no use to another version.
  std::string save();
  // Of a reducer that has had no input: goes on exactly where the saved one stood, with the bodies from
  // elsewhere (null: there is none). Throws starlinghook::MemoryError for bytes of another version, or that
  // do not fit the settings, and for a body that is missing; it is of no use then.
  using BodyLookup = std::function<Body(StreamId)>;
  void load(const starlinghook::Settings& settings, std::string_view bytes, const BodyLookup& body_of);
  Time next_timer() const { return timer_; }  // the one that SetTimer asked for last, or Time::max()

  // Null where no role of the fleet is sought.
  const fleet::Fleet* fleet() const { return fleet_ ? &*fleet_ : nullptr; }

  // What a refused client is told to wait.
  Time refusal_retry_after() const { return refusal_retry_after_; }

  std::size_t streams() const { return streams_.size(); }
  std::size_t hosts() const { return cluster_.size(); }
  // All that is remembered of streams, hosts and ids, the module's part included.
  std::size_t record_count() const {
    return streams_.size() + stream_ids_.size() + ended_.size() + ended_ids_.size() + host_ids_.size() +
           cluster_.size() + forwarder_.record_count();
  }

 private:
  struct Stream {
    std::string id;
    std::string idempotency_key;
    Body body;
    std::uint32_t attempts = 0;
    bool repeatable = false;  // any number of times
    HostId host = 0;          // of the newest attempt; in the cluster as long as it is out
    bool in_flight = false;
    bool given_up = false;
    Time late_at = Time::max();  // its aim is over; not known of one from an earlier life
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

  // The cap on endpoints out: what this relay shows of them, and what may not rest.
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
  void execute(const starlinghook::Probe&) {}      // none of these is asked for: the settings rule
  void execute(const starlinghook::WatchList&) {}  // them out
  void execute(const starlinghook::FetchList&) {}

  Stream& add_stream(StreamId id, std::string text, Body body);
  void give_up(StreamId stream, Verdict verdict, Time again, starlinghook::GiveUpReason why);
  bool answered_too_late(const Stream& stream, const CallEnded& call) const;
  template <class Concerned>
  void cancel_unsent_calls(Concerned concerned);
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
  std::vector<bool> repeatable_;  // likewise
  const Time refusal_retry_after_;
  starlinghook::Forwarder forwarder_;
  Time now_{};
  std::vector<Effect> effects_;
  std::vector<starlinghook::Action> actions_;
  StreamId next_stream_;
  std::map<StreamId, Stream> streams_;
  std::size_t given_up_ = 0;  // of these, only a notice is owed for so many
  std::unordered_map<std::string, StreamId> stream_ids_;
  std::deque<std::string> ended_;  // ids that ended last
  std::unordered_set<std::string> ended_ids_;
  std::unordered_map<std::string, HostId> host_ids_;
  // The cluster: what discovery names, and hosts that are gone for as long as a call to them is out.
  struct Host {
    HostEntry entry;
    std::size_t calls_in_flight = 0;  // calls
    template <class Archive>
    void serialize(Archive& archive);
  };
  std::map<HostId, Host> cluster_;
  HostId next_host_ = 0;
  std::vector<bool> destinations_;  // those that discovery has ever named
  bool storage_writable_ = true;
  bool host_list_received_ = false;  // discovery has told a whole list in this life
  Time timer_ = Time::max();
  std::optional<fleet::Fleet> fleet_;
  std::string fleet_snapshot_;  // of the process before this one, until the plan is known
};

}  // namespace fennellane

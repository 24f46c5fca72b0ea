#include "reducer.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace fennellane {

using starlinghook::Condition;
using starlinghook::Outcome;

Reducer::Reducer(const starlinghook::Settings& settings, const Limits& limits, StreamId next_stream,
                 Counters& counters)
    : limits_(limits),
      counters_(counters),
      refusal_retry_after_(settings.can_send_retry_after
                               ? std::min(limits.refusal_retry_after, settings.max_retry_after)
                               : Time(0)),
      forwarder_(settings),
      next_stream_(next_stream),
      ended_(limits.max_ended_ids) {
  for (const starlinghook::ClassSettings& c : settings.classes) {
    aims_.push_back(c.aim);
    repeatable_.push_back(c.effect == starlinghook::Effect::safe);
  }
}

std::vector<Effect> Reducer::reduce(Time now, const Input& input) {
  now_ = std::max(now, now_);  // the module requires time that never goes backwards
  std::visit([this](const auto& i) { on(i); }, input);
  return std::exchange(effects_, {});
}

void Reducer::handle_event(const starlinghook::Event& event) {
  forwarder_.handle(now_, event, actions_);
  for (const starlinghook::Action& action : std::exchange(actions_, {})) {
    std::visit([this](const auto& a) { execute(a); }, action);
  }
}

// --- Inputs
void Reducer::on(const Started& s) {
  next_stream_ = std::max(next_stream_, s.next_stream);
  forwarder_.start(now_, actions_);
  for (const starlinghook::Action& action : std::exchange(actions_, {})) {
    std::visit([this](const auto& a) { execute(a); }, action);
  }
}

Reducer::Stream& Reducer::add_stream(StreamId id, const JournalEntry& entry) {
  stream_ids_[entry.id] = id;
  Stream& stream = streams_[id];
  stream.id = entry.id;
  stream.idempotency_key = entry.idempotency_key;
  stream.fingerprint = fingerprint_of(entry);
  stream.body = entry.body;
  return stream;
}

const MessageFingerprint* Reducer::find_known_message(const std::string& id) const {
  const auto held = stream_ids_.find(id);
  return held == stream_ids_.end() ? ended_.find(id) : &streams_.at(held->second).fingerprint;
}

AdmissionOutcome Reducer::check_admission(const MessageSubmitted& submitted) const {
  // A message to an unknown destination would be held until its deadline without ever being delivered. Before
  // discovery has sent its list, the destination may still appear, so the client is refused and may retry.
  if (submitted.destination >= destinations_.size() || !destinations_[submitted.destination])
    return host_list_received_ ? AdmissionOutcome::unknown_destination : AdmissionOutcome::no_host_list;
  if (streams_.size() - given_up_ >= limits_.max_held) return AdmissionOutcome::held_limit;
  if (streams_.size() >= limits_.max_held_and_unnoticed) return AdmissionOutcome::notice_limit;
  if (!storage_writable_) return AdmissionOutcome::storage_failing;
  return submitted.journal_has_room ? AdmissionOutcome::accepted : AdmissionOutcome::journal_full;
}

void Reducer::refuse(RequestHandle request, AdmissionOutcome reason) {
  ++refusal_counter(reason);
  const AdmissionReply reply = reason == AdmissionOutcome::unknown_destination
                                   ? AdmissionReply::unknown_destination
                                   : AdmissionReply::refused;
  // A message whose id is taken may be submitted again at once, under another id.
  const Time retry_after = reason == AdmissionOutcome::id_conflict ? Time(0) : refusal_retry_after_;
  emit(SendAnswer{request, reply, retry_after, reason, 0});
}

std::uint64_t& Reducer::refusal_counter(AdmissionOutcome reason) {
  if (reason == AdmissionOutcome::unknown_destination) return counters_.malformed;
  return reason == AdmissionOutcome::id_conflict ? counters_.id_conflicts : counters_.refused;
}

// `accepted` promises the client that its own message gets its final result, so an id that is known is not
// enough: the message must be the same.
void Reducer::on(const MessageSubmitted& submitted) {
  JournalEntry entry;
  entry.id = submitted.id;
  entry.idempotency_key = submitted.idempotency_key;
  entry.message_class = submitted.message_class;
  entry.tenant = submitted.tenant;
  entry.destination = submitted.destination;
  entry.body = submitted.body;
  if (const MessageFingerprint* known = find_known_message(submitted.id)) {
    if (*known != fingerprint_of(entry)) return refuse(submitted.request, AdmissionOutcome::id_conflict);
    ++counters_.duplicates;
    return emit(
        SendAnswer{submitted.request, AdmissionReply::accepted, Time(0), AdmissionOutcome::duplicate, 0});
  }
  const AdmissionOutcome admission = check_admission(submitted);
  if (admission != AdmissionOutcome::accepted) return refuse(submitted.request, admission);
  accept(submitted, std::move(entry));
}

// The order of effects is essential: journal record, answer to the client, first call.
void Reducer::accept(const MessageSubmitted& submitted, JournalEntry entry) {
  ++counters_.accepted;
  const StreamId id = next_stream_++;
  Stream& stream = add_stream(id, entry);
  stream.deadline = now_ + submitted.time_left;
  if (submitted.message_class < aims_.size()) {
    stream.late_at = now_ + aims_[submitted.message_class];
    stream.repeatable = repeatable_[submitted.message_class];
  }
  emit(RecordAccepted{id, std::move(entry), submitted.time_left});
  emit(SendAnswer{submitted.request, AdmissionReply::accepted, Time(0), AdmissionOutcome::accepted, id});
  starlinghook::MessageArrived arrived;
  arrived.id = id;
  arrived.message_class = submitted.message_class;
  arrived.tenant = submitted.tenant;
  arrived.destination = submitted.destination;
  arrived.time_left = submitted.time_left;
  handle_event(arrived);
}

void Reducer::on(const MessageRestored& restored) {
  ++counters_.restored;
  const JournalEntry& e = restored.entry;
  Stream& stream = add_stream(restored.stream, e);
  stream.attempts = e.attempts;
  stream.deadline = now_ + restored.time_left;
  if (e.verdict) {
    // The message was given up before the crash: it must not be sent again, only its notice is pending.
    stream.given_up = true;
    ++given_up_;
    return emit(PostNotice{restored.stream, e.id, *e.verdict, e.retry_after});
  }
  // An attempt in flight at the crash may have run; the module does not resend a message that may not be
  // repeated.
  if (e.in_flight) emit(RecordOutcome{restored.stream, true});
  // The message's class may have been removed from the configuration.
  if (e.message_class >= aims_.size()) {
    return give_up(restored.stream, Verdict::undeliverable, Time(0), starlinghook::GiveUpReason::none);
  }
  stream.repeatable = repeatable_[e.message_class];
  starlinghook::MessageArrived arrived;
  arrived.id = restored.stream;
  arrived.message_class = e.message_class;
  arrived.tenant = e.tenant;
  arrived.destination = e.destination;
  arrived.time_left = restored.time_left;
  arrived.attempts = e.attempts;
  arrived.may_have_run = e.in_flight || e.may_have_run;
  arrived.uncertain_age = e.may_have_run ? restored.uncertain_age : restored.attempt_age;
  arrived.uncertain_zone = e.may_have_run ? e.uncertain_zone : e.attempt_zone;
  arrived.more_follow = restored.more_follow;
  handle_event(arrived);
}

void Reducer::on(const CallEnded& c) {
  const auto it = streams_.find(c.stream);
  if (it == streams_.end() || !it->second.in_flight || c.attempt + 1 != it->second.attempts) return;
  Stream& stream = it->second;
  stream.in_flight = false;
  Host& host = cluster_.at(stream.host);
  --host.calls_in_flight;
  const std::uint32_t destination = host.entry.destination;
  ++counters_.outcomes[static_cast<std::size_t>(c.outcome)];
  starlinghook::AttemptEnded ended;
  ended.id = c.stream;
  ended.attempt = c.attempt;
  ended.endpoint = stream.host;
  ended.outcome = c.outcome;
  const bool answered_late = answered_too_late(stream, c);
  ended.finished = c.ended_elsewhere || c.outcome == Outcome::delivered;
  ended.retry_after = c.retry_after;
  ended.no_slot = c.no_slot;
  ended.report = c.report;
  ended.connection_only = c.connection_only;
  ended.connection_idle = c.idle;
  ended.connection_closed = c.connection_closed;
  ended.close_requested = c.close_requested;
  if (answered_late) {
    ++counters_.undeliverable;
    give_up(c.stream, Verdict::undeliverable, Time(0), starlinghook::GiveUpReason::answered_late);
  } else if (ended.finished) {
    ++(c.outcome == Outcome::delivered ? counters_.delivered : counters_.withdrawn);
    counters_.late += c.outcome == Outcome::delivered && now_ > stream.late_at ? 1 : 0;
    end_message(it);
  } else {
    const bool uncertain = c.outcome == Outcome::error || c.outcome == Outcome::timeout ||
                           c.outcome == Outcome::reset || c.outcome == Outcome::cancelled;
    emit(RecordOutcome{c.stream, uncertain});
  }
  if (c.retry_after > Time(0)) {
    cancel_unsent_calls([&](HostId host) { return cluster_.at(host).entry.destination == destination; });
  }
  const HostId endpoint = ended.endpoint;
  handle_event(ended);
  forget_if_gone(endpoint);
}

// A 200 written after the message's deadline does not count as a delivery, and the platform still expects a
// result. This relay's deadline and the client's differ by the time it took to read the request, so an answer
// within that margin may be on either side: the notice is posted, and is harmless for a message that has
// already ended.
bool Reducer::answered_too_late(const Stream& stream, const CallEnded& call) const {
  return call.outcome == Outcome::delivered && now_ + limits_.delivery_deadline_margin >= stream.deadline;
}

// Cancels calls that were started before a wait was requested, or a host began to drain or moved, and that
// have not been written yet: a new connection may take long to be established.
template <class Predicate>
void Reducer::cancel_unsent_calls(Predicate matches) {
  for (const auto& [id, stream] : streams_) {
    if (stream.in_flight && matches(stream.host)) emit(CancelUnsentCall{id, stream.attempts - 1});
  }
}

// Whether calls under way to the host as listed before would reach another process, or one of another
// destination.
bool Reducer::has_moved(const HostEntry& before, const HostEntry& now) {
  const bool restarted = now.started_ms != 0 && now.started_ms != before.started_ms;
  return now.address != before.address || now.destination != before.destination || restarted;
}

HostId Reducer::intern(const std::string& host) {
  const auto [it, added] = host_ids_.emplace(host, next_host_);
  if (added) cluster_[next_host_++].entry.id = host;
  return it->second;
}

// A removed host is deleted with its last call; otherwise memory would grow with every host that ever
// existed.
void Reducer::forget_if_gone(HostId id) {
  const auto it = cluster_.find(id);
  if (it == cluster_.end() || it->second.calls_in_flight > 0 || it->second.entry.condition != Condition::gone)
    return;
  host_ids_.erase(it->second.entry.id);
  cluster_.erase(it);
}

void Reducer::on(const ClusterChanged& update) {
  std::vector<HostId> gone;
  std::unordered_set<HostId> moved;
  bool any_draining = false;
  starlinghook::ListChanged change;
  change.full = update.list.full;
  change.cached = update.cached;
  if (update.list.full) {  // hosts missing from it are gone
    host_list_received_ = host_list_received_ || !update.cached;
    std::unordered_set<std::string> listed;
    for (const HostEntry& host : update.list.hosts) listed.insert(host.id);
    for (auto& [id, host] : cluster_) {
      if (host.entry.condition == Condition::gone || listed.count(host.entry.id)) continue;
      host.entry.condition = Condition::gone;
      gone.push_back(id);
      any_draining = true;
      emit(RetireHost{id});
    }
  }
  for (const HostEntry& entry : update.list.hosts) {
    // a host that was never known
    if (entry.condition == Condition::gone && !host_ids_.count(entry.id)) continue;
    const bool known = host_ids_.count(entry.id) > 0;
    const HostId id = intern(entry.id);
    Host& host = cluster_.at(id);
    // It must not be reached over connections to what was there before.
    if (known && has_moved(host.entry, entry)) moved.insert(id);
    if (entry.condition != Condition::ready || moved.count(id) > 0) emit(RetireHost{id});
    any_draining = any_draining || entry.condition != Condition::ready;
    host.entry = entry;
    if (entry.condition == Condition::gone) gone.push_back(id);
    if (entry.destination >= destinations_.size()) destinations_.resize(entry.destination + 1);
    destinations_[entry.destination] = true;
    change.entries.push_back({id, entry.destination, entry.zone, entry.kind, entry.rate, entry.condition});
  }
  // A change that only adds hosts requires no scan of the streams or hosts.
  if (any_draining || !moved.empty()) {
    cancel_unsent_calls([&](HostId host) {
      return moved.count(host) > 0 || cluster_.at(host).entry.condition != Condition::ready;
    });
  }
  handle_event(change);
  for (const HostId id : gone) forget_if_gone(id);
  if (fleet_ && fleet_->cap() && *fleet_->cap()) cap_backoffs();  // includes hosts added since
}

void Reducer::on(const NoticeAccepted& n) {
  const auto it = streams_.find(n.stream);
  if (it == streams_.end() || !it->second.given_up) return;
  ++counters_.notices_accepted;
  --given_up_;
  end_message(it);
}

void Reducer::on(const RecordingFailed& n) {
  const auto it = streams_.find(n.stream);
  if (it == streams_.end()) return;
  Stream& stream = it->second;
  --counters_.accepted;
  ++counters_.refused;
  handle_event(starlinghook::MessageDropped{n.stream});
  if (stream.in_flight) {  // the call that was to follow was not sent
    --cluster_.at(stream.host).calls_in_flight;
    starlinghook::AttemptEnded ended;
    ended.id = n.stream;
    ended.attempt = stream.attempts - 1;
    ended.endpoint = stream.host;
    ended.outcome = Outcome::not_sent;
    ended.finished = true;
    ended.no_slot = true;
    handle_event(ended);
    forget_if_gone(ended.endpoint);
  }
  given_up_ -= stream.given_up ? 1 : 0;
  stream_ids_.erase(stream.id);
  streams_.erase(it);
}

void Reducer::on(const StorageChanged& s) {
  storage_writable_ = s.writable;
  handle_event(starlinghook::RecordingChanged{s.writable});
}

void Reducer::on(const TimerExpired&) {
  timer_ = Time::max();
  handle_event(starlinghook::TimerExpired{});
}

void Reducer::on(const StopRequested& s) { handle_event(starlinghook::ShutdownScheduled{s.last_call}); }

// A process that took over continues with the previous leases if its roles are the same.
void Reducer::on(const FleetPlanReceived& f) {
  fleet_.emplace(f.plan);
  if (!load_fleet()) return;
  for (fleet::Effect& e : fleet_->resume(now_)) emit(FleetEffect{std::move(e)});
}

void Reducer::on(const FleetInput& f) {
  if (!fleet_) return;
  const auto* const reporter = std::get_if<fleet::ReporterInput>(&f.input);
  const auto* const arbiter = std::get_if<fleet::ArbiterInput>(&f.input);
  std::vector<fleet::Effect> effects;
  if (reporter && std::holds_alternative<ejection::CheckTimerExpired>(reporter->input)) {
    effects = fleet_->handle(now_, fleet::ReporterInput{ejection::CheckTimerExpired{ejection_view()}});
  } else if (arbiter && std::holds_alternative<ejection::ReportsRead>(arbiter->input)) {
    auto read = std::get<ejection::ReportsRead>(arbiter->input);
    read.listed = ejection_view().listed;
    effects = fleet_->handle(now_, fleet::ArbiterInput{std::move(read)});
  } else {
    effects = fleet_->handle(now_, f.input);
  }
  for (fleet::Effect& e : effects) {
    const auto* const reporter_effect = std::get_if<fleet::ReporterEffect>(&e);
    if (reporter_effect && std::holds_alternative<ejection::CapEndpoints>(reporter_effect->effect)) {
      cap_backoffs();
    } else {
      emit(FleetEffect{std::move(e)});
    }
  }
}

ejection::View Reducer::ejection_view() const {
  ejection::View view;
  for (const auto& [id, host] : cluster_) {
    if (host.entry.condition != Condition::gone)
      view.listed.push_back(
          {host.entry.id, host.entry.destination, host.entry.condition == Condition::ready});
  }
  const std::vector<std::string> exempt_hosts = hosts_exempt_from_backoff(view.listed);
  const std::unordered_set<std::string> exempt(exempt_hosts.begin(), exempt_hosts.end());
  for (const starlinghook::DegradedEndpoint& a : forwarder_.degraded_endpoints()) {
    const auto it = cluster_.find(a.endpoint);
    if (it == cluster_.end()) continue;
    const std::string& host = it->second.entry.id;
    view.degraded_endpoints.push_back(
        {host, static_cast<ejection::DegradationKind>(a.kind), a.failure_share, exempt.count(host) > 0});
  }
  return view;
}

std::vector<std::string> Reducer::hosts_exempt_from_backoff(
    const std::vector<ejection::Listed>& listed) const {
  const auto* const cap = fleet_ ? fleet_->cap() : nullptr;
  return cap && *cap ? ejection::exempt_endpoints(**cap, listed) : std::vector<std::string>();
}

void Reducer::cap_backoffs() {
  starlinghook::BackoffCapped capped;
  for (const std::string& host : hosts_exempt_from_backoff(ejection_view().listed))
    capped.exempt.push_back(host_ids_.at(host));
  handle_event(capped);
}

// --- Actions
void Reducer::execute(const starlinghook::Send& a) {
  Stream& stream = streams_.at(a.id);
  Host& target = cluster_.at(a.endpoint);
  ++target.calls_in_flight;
  const HostEntry& host = target.entry;
  stream.host = a.endpoint;
  stream.in_flight = true;
  const std::uint32_t attempt = stream.attempts++;
  ++counters_.sent;
  emit(RecordAttempt{a.id, attempt, host.zone, !stream.repeatable});
  StartCall call{a.id,        attempt,   a.endpoint, host.address,   stream.id,
                 stream.body, a.timeout, a.max_idle, a.begin_within, stream.idempotency_key};
  emit(std::move(call));
}

void Reducer::give_up(StreamId stream, Verdict verdict, Time retry_after, starlinghook::GiveUpReason reason) {
  Stream& s = streams_.at(stream);
  s.given_up = true;
  s.body.reset();
  ++given_up_;
  emit(RecordGivenUp{stream, verdict, retry_after, reason});
  emit(PostNotice{stream, s.id, verdict, retry_after});
}
void Reducer::execute(const starlinghook::Refuse& a) {
  ++counters_.deferred;
  give_up(a.id, Verdict::deferred, a.retry_after, a.reason);
}
void Reducer::execute(const starlinghook::Fail& a) {
  ++counters_.undeliverable;
  give_up(a.id, Verdict::undeliverable, Time(0), a.reason);
}
void Reducer::execute(const starlinghook::Cancel& a) { emit(CancelCall{a.id, a.attempt}); }
void Reducer::execute(const starlinghook::CloseIdleConnections& a) { emit(CloseIdleConnections{a.endpoint}); }
void Reducer::execute(const starlinghook::SetTimer& a) {
  // A new timer of the module only matters if it is earlier than the pending one; when a timer fires, the
  // module handles everything that is due.
  if (a.at >= timer_) return;
  timer_ = a.at;
  emit(SetTimer{a.at});
}
void Reducer::execute(const starlinghook::LogMessage& a) { emit(LogMessage{a.text}); }

// The message has its final result.
void Reducer::end_message(std::map<StreamId, Stream>::iterator it) {
  emit(RecordEnded{it->first});
  stream_ids_.erase(it->second.id);
  ended_.add(std::move(it->second.id), it->second.fingerprint);
  streams_.erase(it);
}

}  // namespace fennellane

#include "reducer.hpp"

#include <algorithm>
#include <utility>

namespace fennellane {

using starlinghook::Condition;
using starlinghook::Outcome;

Reducer::Reducer(const starlinghook::Settings& settings, const Limits& limits, StreamId next_stream,
                 Counters& counters)
    : limits_(limits),
      counters_(counters),
      refused_again_(settings.can_advise_return ? std::min(limits.refused_again, settings.max_return_after)
                                                : Time(0)),
      forwarder_(settings),
      next_(next_stream) {
  for (const starlinghook::ClassSettings& c : settings.classes) {
    aims_.push_back(c.aim);
    repeatable_.push_back(c.effect == starlinghook::Effect::safe);
  }
}

std::vector<Effect> Reducer::reduce(Time now, const Input& input) {
  now_ = std::max(now, now_);  // the module's time never goes backwards
  std::visit([this](const auto& i) { on(i); }, input);
  return std::exchange(effects_, {});
}

void Reducer::decide(const starlinghook::Event& event) {
  forwarder_.handle(now_, event, actions_);
  for (const starlinghook::Action& action : std::exchange(actions_, {})) {
    std::visit([this](const auto& a) { carry(a); }, action);
  }
}

// --- Inputs
void Reducer::on(const Started& s) {
  next_ = std::max(next_, s.next_stream);
  forwarder_.start(now_, actions_);
  for (const starlinghook::Action& action : std::exchange(actions_, {})) {
    std::visit([this](const auto& a) { carry(a); }, action);
  }
}

Reducer::Stream& Reducer::add(StreamId id, std::string text, Body body) {
  by_id_[text] = id;
  Stream& stream = streams_[id];
  stream.id = std::move(text);
  stream.body = std::move(body);
  return stream;
}

// Taking on: the journal first, then the client's answer, then the first send.
void Reducer::on(const Offered& o) {
  if (by_id_.count(o.id) || ended_ids_.count(o.id)) {
    ++counters_.repeated;
    return effect(Answer{o.reply, Reply::taken, Time(0), AdmissionOutcome::repeated, 0});
  }
  // Guards against holding to its deadline what can never be delivered. Before discovery has told its list,
  // it may only be too early.
  if (o.destination >= destinations_.size() || !destinations_[o.destination]) {
    ++(listed_ ? counters_.malformed : counters_.refused);
    return effect(Answer{o.reply, listed_ ? Reply::unknown : Reply::refused, refused_again_,
                         listed_ ? AdmissionOutcome::unknown : AdmissionOutcome::too_early, 0});
  }
  const AdmissionOutcome admission = streams_.size() - given_up_ >= limits_.held ? AdmissionOutcome::full
                                     : streams_.size() >= limits_.unnoticed      ? AdmissionOutcome::unnoticed
                                     : !storage_writable_                        ? AdmissionOutcome::storage
                                     : !o.journal_has_room ? AdmissionOutcome::journal_full
                                                           : AdmissionOutcome::taken;
  if (admission != AdmissionOutcome::taken) {
    ++counters_.refused;
    return effect(Answer{o.reply, Reply::refused, refused_again_, admission, 0});
  }
  ++counters_.taken;
  const StreamId id = next_++;
  Stream& stream = add(id, o.id, o.body);
  stream.idempotency_key = o.idempotency_key;
  stream.deadline = now_ + o.time_left;
  if (o.message_class < aims_.size()) {
    stream.late_at = now_ + aims_[o.message_class];
    stream.repeatable = repeatable_[o.message_class];
  }
  JournalEntry entry;
  entry.id = o.id;
  entry.idempotency_key = o.idempotency_key;
  entry.message_class = o.message_class;
  entry.tenant = o.tenant;
  entry.destination = o.destination;
  entry.body = o.body;
  effect(RecordTaken{id, std::move(entry), o.time_left});
  effect(Answer{o.reply, Reply::taken, Time(0), AdmissionOutcome::taken, id});
  starlinghook::MessageArrived arrived;
  arrived.id = id;
  arrived.message_class = o.message_class;
  arrived.tenant = o.tenant;
  arrived.destination = o.destination;
  arrived.time_left = o.time_left;
  decide(arrived);
}

void Reducer::on(const Restored& r) {
  ++counters_.restored;
  const JournalEntry& e = r.entry;
  Stream& stream = add(r.stream, e.id, e.body);
  stream.idempotency_key = e.idempotency_key;
  stream.attempts = e.attempts;
  stream.deadline = now_ + r.time_left;
  if (e.verdict) {
    // Guards against sending a message again that was ended before the crash: only its notice is owed.
    stream.given_up = true;
    ++given_up_;
    return effect(PostNotice{r.stream, e.id, *e.verdict, e.again});
  }
  // An attempt that was out at the crash may have run; the module sends no such message again that may not be
  // repeated.
  if (e.out) effect(RecordOutcome{r.stream, true});
  // Guards against a configuration that has lost the message's class since.
  if (e.message_class >= aims_.size()) {
    return give_up(r.stream, Verdict::undeliverable, Time(0), starlinghook::GiveUpReason::none);
  }
  stream.repeatable = repeatable_[e.message_class];
  starlinghook::MessageArrived arrived;
  arrived.id = r.stream;
  arrived.message_class = e.message_class;
  arrived.tenant = e.tenant;
  arrived.destination = e.destination;
  arrived.time_left = r.time_left;
  arrived.attempts = e.attempts;
  arrived.may_have_run = e.out || e.may_have_run;
  arrived.doubt_age = e.may_have_run ? r.doubt_age : r.out_age;
  arrived.doubt_zone = e.may_have_run ? e.doubt_zone : e.out_zone;
  arrived.more_follow = r.more_follow;
  decide(arrived);
}

void Reducer::on(const CallEnded& c) {
  const auto it = streams_.find(c.stream);
  if (it == streams_.end() || !it->second.out || c.attempt + 1 != it->second.attempts) return;
  Stream& stream = it->second;
  stream.out = false;
  Host& host = cluster_.at(stream.host);
  --host.out;
  const std::uint32_t destination = host.entry.destination;
  ++counters_.outcomes[static_cast<std::size_t>(c.outcome)];
  starlinghook::AttemptEnded ended;
  ended.id = c.stream;
  ended.attempt = c.attempt;
  ended.endpoint = stream.host;
  ended.outcome = c.outcome;
  const bool too_late = answered_too_late(stream, c);
  ended.finished = c.over || c.outcome == Outcome::delivered;
  ended.told_wait = c.told_wait;
  ended.no_slot = c.no_slot;
  ended.report = c.report;
  ended.connection_only = c.connection_only;
  ended.idle = c.idle;
  ended.connection_closed = c.connection_closed;
  ended.close_requested = c.close_requested;
  if (too_late) {
    ++counters_.undeliverable;
    give_up(c.stream, Verdict::undeliverable, Time(0), starlinghook::GiveUpReason::answered_late);
  } else if (ended.finished) {
    ++(c.outcome == Outcome::delivered ? counters_.delivered : counters_.withdrawn);
    counters_.late += c.outcome == Outcome::delivered && now_ > stream.late_at ? 1 : 0;
    end(it);
  } else {
    const bool doubtful = c.outcome == Outcome::error || c.outcome == Outcome::timeout ||
                          c.outcome == Outcome::reset || c.outcome == Outcome::cancelled;
    effect(RecordOutcome{c.stream, doubtful});
  }
  if (c.told_wait > Time(0)) {
    hold_back([&](const HostEntry& host) { return host.destination == destination; });
  }
  const HostId called = ended.endpoint;
  decide(ended);
  forget(called);
}

// A 200 that was written when the message's time was up delivers nothing, and the platform still waits for
// the end. This relay's deadline and the client's differ by what the request took to be read, so an answer
// within that margin may be either: the notice is posted, and does no harm to a message that is already over.
bool Reducer::answered_too_late(const Stream& stream, const CallEnded& call) const {
  return call.outcome == Outcome::delivered && now_ + limits_.answer_margin >= stream.deadline;
}

// Guards against a call that was decided on before a wait or a drain was told and is sent after it: a new
// connection may take long to come up.
template <class Concerned>
void Reducer::hold_back(Concerned concerned) {
  for (const auto& [id, stream] : streams_) {
    if (stream.out && concerned(cluster_.at(stream.host).entry)) effect(HoldBack{id, stream.attempts - 1});
  }
}

HostId Reducer::intern(const std::string& host) {
  const auto [it, added] = host_ids_.emplace(host, next_host_);
  if (added) cluster_[next_host_++].entry.id = host;
  return it->second;
}

// Guards the memory against every host that ever was: one that is gone is forgotten with its last call.
void Reducer::forget(HostId id) {
  const auto it = cluster_.find(id);
  if (it == cluster_.end() || it->second.out > 0 || it->second.entry.condition != Condition::gone) return;
  host_ids_.erase(it->second.entry.id);
  cluster_.erase(it);
}

void Reducer::on(const ClusterChanged& c) {
  std::vector<HostId> gone;
  bool drains = false;
  starlinghook::ListChanged change;
  change.whole = c.list.whole;
  change.cached = c.cached;
  if (c.list.whole) {  // what is not in it is gone
    listed_ = listed_ || !c.cached;
    std::unordered_set<std::string> named;
    for (const HostEntry& host : c.list.hosts) named.insert(host.id);
    for (auto& [id, host] : cluster_) {
      if (host.entry.condition == Condition::gone || named.count(host.entry.id)) continue;
      host.entry.condition = Condition::gone;
      gone.push_back(id);
      drains = true;
      effect(RetireHost{id});
    }
  }
  for (const HostEntry& entry : c.list.hosts) {
    if (entry.condition == Condition::gone && !host_ids_.count(entry.id)) continue;  // never heard of
    const bool known = host_ids_.count(entry.id) > 0;
    const HostId id = intern(entry.id);
    Host& host = cluster_.at(id);
    // Guards a host that comes at a new address against a connection to the old one.
    const bool moved = known && entry.address.text() != host.entry.address.text();
    if (entry.condition != Condition::ready || moved) effect(RetireHost{id});
    drains = drains || entry.condition != Condition::ready;
    host.entry = entry;
    if (entry.condition == Condition::gone) gone.push_back(id);
    if (entry.destination >= destinations_.size()) destinations_.resize(entry.destination + 1);
    destinations_[entry.destination] = true;
    change.entries.push_back({id, entry.destination, entry.zone, entry.kind, entry.rate, entry.condition});
  }
  // Nothing is sought among the streams, or among all hosts, for a change that only brings hosts.
  if (drains) hold_back([](const HostEntry& host) { return host.condition != Condition::ready; });
  decide(change);
  for (const HostId id : gone) forget(id);
  if (fleet_ && fleet_->cap() && *fleet_->cap()) cap_rests();  // of hosts that have come since, too
}

void Reducer::on(const NoticeTaken& n) {
  const auto it = streams_.find(n.stream);
  if (it == streams_.end() || !it->second.given_up) return;
  ++counters_.notices_taken;
  --given_up_;
  end(it);
}

void Reducer::on(const NotRecorded& n) {
  const auto it = streams_.find(n.stream);
  if (it == streams_.end()) return;
  Stream& stream = it->second;
  --counters_.taken;
  ++counters_.refused;
  decide(starlinghook::MessageDropped{n.stream});
  if (stream.out) {  // the call that was to follow did not go out
    --cluster_.at(stream.host).out;
    starlinghook::AttemptEnded ended;
    ended.id = n.stream;
    ended.attempt = stream.attempts - 1;
    ended.endpoint = stream.host;
    ended.outcome = Outcome::not_sent;
    ended.finished = true;
    ended.no_slot = true;
    decide(ended);
    forget(ended.endpoint);
  }
  given_up_ -= stream.given_up ? 1 : 0;
  by_id_.erase(stream.id);
  streams_.erase(it);
}

void Reducer::on(const StorageChanged& s) {
  storage_writable_ = s.writable;
  decide(starlinghook::RecordingChanged{s.writable});
}

void Reducer::on(const TimerDue&) {
  timer_ = Time::max();
  decide(starlinghook::TimerFired{});
}

void Reducer::on(const StopAsked& s) { decide(starlinghook::Stopping{s.last_call}); }

// A process that took over goes on with the leases as they stood, where its roles are the same.
void Reducer::on(const FleetPlanned& f) {
  fleet_.emplace(f.plan);
  if (!load_fleet()) return;
  for (fleet::Effect& e : fleet_->resume(now_)) effect(FleetDo{std::move(e)});
}

void Reducer::on(const FleetHeard& f) {
  if (!fleet_) return;
  const auto* const reporter = std::get_if<fleet::ReporterHeard>(&f.input);
  const auto* const arbiter = std::get_if<fleet::ArbiterHeard>(&f.input);
  std::vector<fleet::Effect> effects;
  if (reporter && std::holds_alternative<ejection::LookDue>(reporter->input)) {
    effects = fleet_->handle(now_, fleet::ReporterHeard{ejection::LookDue{view()}});
  } else if (arbiter && std::holds_alternative<ejection::ReportsRead>(arbiter->input)) {
    auto read = std::get<ejection::ReportsRead>(arbiter->input);
    read.listed = view().listed;
    effects = fleet_->handle(now_, fleet::ArbiterHeard{std::move(read)});
  } else {
    effects = fleet_->handle(now_, f.input);
  }
  for (fleet::Effect& e : effects) {
    const auto* const done = std::get_if<fleet::ReporterDo>(&e);
    if (done && std::holds_alternative<ejection::CapEndpoints>(done->effect)) {
      cap_rests();
    } else {
      effect(FleetDo{std::move(e)});
    }
  }
}

ejection::View Reducer::view() const {
  ejection::View view;
  for (const auto& [id, host] : cluster_) {
    if (host.entry.condition != Condition::gone)
      view.listed.push_back(
          {host.entry.id, host.entry.destination, host.entry.condition == Condition::ready});
  }
  const std::vector<std::string> all = kept_hosts(view.listed);
  const std::unordered_set<std::string> kept(all.begin(), all.end());
  for (const starlinghook::Ailing& a : forwarder_.ailing()) {
    const auto it = cluster_.find(a.endpoint);
    if (it == cluster_.end()) continue;
    const std::string& host = it->second.entry.id;
    view.ailing.push_back({host, static_cast<ejection::State>(a.ail), a.bad, kept.count(host) > 0});
  }
  return view;
}

std::vector<std::string> Reducer::kept_hosts(const std::vector<ejection::Listed>& listed) const {
  const auto* const cap = fleet_ ? fleet_->cap() : nullptr;
  return cap && *cap ? ejection::kept(**cap, listed) : std::vector<std::string>();
}

void Reducer::cap_rests() {
  starlinghook::RestsCapped capped;
  for (const std::string& host : kept_hosts(view().listed)) capped.kept.push_back(host_ids_.at(host));
  decide(capped);
}

// --- Actions
void Reducer::carry(const starlinghook::Send& a) {
  Stream& stream = streams_.at(a.id);
  Host& target = cluster_.at(a.endpoint);
  ++target.out;
  const HostEntry& host = target.entry;
  stream.host = a.endpoint;
  stream.out = true;
  const std::uint32_t attempt = stream.attempts++;
  ++counters_.sent;
  effect(RecordAttempt{a.id, attempt, host.zone, !stream.repeatable});
  StartCall call{a.id,        attempt,   a.endpoint,  host.address,   stream.id,
                 stream.body, a.timeout, a.most_idle, a.begin_within, stream.idempotency_key};
  effect(std::move(call));
}

void Reducer::give_up(StreamId stream, Verdict verdict, Time again, starlinghook::GiveUpReason why) {
  Stream& s = streams_.at(stream);
  s.given_up = true;
  s.body.reset();
  ++given_up_;
  effect(RecordGivenUp{stream, verdict, again, why});
  effect(PostNotice{stream, s.id, verdict, again});
}
void Reducer::carry(const starlinghook::Refuse& a) {
  ++counters_.deferred;
  give_up(a.id, Verdict::deferred, a.return_after, a.why);
}
void Reducer::carry(const starlinghook::Fail& a) {
  ++counters_.undeliverable;
  give_up(a.id, Verdict::undeliverable, Time(0), a.why);
}
void Reducer::carry(const starlinghook::Cancel& a) { effect(CancelCall{a.id, a.attempt}); }
void Reducer::carry(const starlinghook::CloseIdle& a) { effect(CloseIdle{a.endpoint}); }
void Reducer::carry(const starlinghook::SetTimer& a) {
  // Each of the module's timers is earlier than those still to come, and at each it looks at all that is due.
  if (a.at >= timer_) return;
  timer_ = a.at;
  effect(SetTimer{a.at});
}
void Reducer::carry(const starlinghook::LogLine& a) { effect(Say{a.text}); }

// The message has its one end. Its id is remembered for a while: a client that heard no answer may repeat it.
void Reducer::end(std::map<StreamId, Stream>::iterator it) {
  effect(RecordEnded{it->first});
  by_id_.erase(it->second.id);
  ended_ids_.insert(it->second.id);
  ended_.push_back(std::move(it->second.id));
  if (ended_.size() > limits_.remembered_ids) {
    ended_ids_.erase(ended_.front());
    ended_.pop_front();
  }
  streams_.erase(it);
}

}  // namespace fennellane

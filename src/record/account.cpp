#include "account.hpp"

#include <algorithm>
#include <csignal>
#include <cstring>

namespace fennellane::record {

using starlinghook::GiveUpReason;
using starlinghook::Outcome;

namespace {

constexpr Moment kSecond = 1'000'000;

// A value of the file's that may be none of ours.
template <class E>
E bounded(std::uint64_t value, std::size_t count) {
  return static_cast<E>(std::min<std::uint64_t>(value, count - 1));
}

}  // namespace

const char* fate_text(Fate fate) {
  switch (fate) {
    case Fate::in_time:
      return "delivered in time";
    case Fate::late:
      return "delivered late";
    case Fate::withdrawn:
      return "over elsewhere";
    case Fate::refused_admission:
      return "refused at the door";
    case Fate::made_room:
      return "given up to make room";
    case Fate::no_time:
      return "given up, as no call would end in time";
    case Fate::no_attempt:
      return "given up after its last attempt";
    case Fate::doubtful:
      return "given up, as it may have run and must not be repeated";
    case Fate::answered_late:
      return "answered when its time was up";
    case Fate::lost_class:
      return "given up, as its class is no longer configured";
    case Fate::answered:
      return "no message";
    case Fate::held:
      return "still held";
  }
  return "";
}

const char* admission_text(AdmissionOutcome admission) {
  switch (admission) {
    case AdmissionOutcome::accepted:
      return "taken on";
    case AdmissionOutcome::duplicate:
      return "held already";
    case AdmissionOutcome::held_limit:
      return "as many messages are held as may be";
    case AdmissionOutcome::notice_limit:
      return "too many notices have not been taken";
    case AdmissionOutcome::journal_full:
      return "the journal is full";
    case AdmissionOutcome::no_host_list:
      return "no list of hosts yet";
    case AdmissionOutcome::unknown_destination:
      return "no such destination";
    case AdmissionOutcome::client_gone:
      return "its client had gone";
    case AdmissionOutcome::malformed:
      return "malformed";
    case AdmissionOutcome::other:
      return "no message";
    case AdmissionOutcome::load_shed:
      return "turned away under pressure";
    case AdmissionOutcome::storage_failing:
      return "the journal cannot be written";
    case AdmissionOutcome::id_conflict:
      return "another message has its id";
  }
  return "";
}

Account::Account(const Contents& contents) : legend_(read_legend(contents.legend)) {
  for (const Entry& e : contents.entries) take(e);
}

Second& Account::second(Moment at) {
  const Moment begin = at / kSecond * kSecond;
  // Entries come in their order; only a clock that is set back brings an older one.
  if (seconds_.empty() || begin > seconds_.back().at) seconds_.push_back({.at = begin, .marks = {}});
  return seconds_.back();
}

Life& Account::by_stream(const Entry& e) {
  const auto [it, fresh] = streams_.emplace(e.subject, lives_.size());
  if (fresh) {
    lives_.emplace_back();
    lives_.back().stream = e.subject;
    lives_.back().began = e.at;
  }
  return lives_[it->second];
}

void Account::take(const Entry& e) {
  Second& s = second(e.at);
  const auto mark = [&s](const char* text) { s.marks += (s.marks.empty() ? "" : ", ") + std::string(text); };
  switch (e.kind) {
    case Kind::none:
      return;
    case Kind::began:
      return mark("a process begins");
    case Kind::ready:
      return mark("ready");
    case Kind::signalled:
      return mark(e.code == SIGHUP ? "reloads" : "is to stop");
    case Kind::beat:
      s.late_loop_ms = std::max<std::uint32_t>(s.late_loop_ms, e.code);
      s.held = std::max(s.held, e.n[0]);
      s.calls = std::max(s.calls, e.n[1]);
      s.clients = std::max(s.clients, e.n[2]);
      return;
    case Kind::storage:
      return mark(e.code == 0 ? "storage writes again" : "storage fails");
    case Kind::no_place:
      ++s.no_place;
      return;
    case Kind::client: {
      ++close_reasons_[bounded<CloseReason>(e.code, kCloseReasonCount)];
      asking_.erase(e.subject);
      return;
    }
    case Kind::asked: {
      ++s.asked;
      asking_[e.subject] = lives_.size();
      Life life;
      life.name = e.name_text();
      life.message_class = e.code;
      life.tenant = e.n[0];
      life.destination = e.n[1];
      life.left_ms = e.n[2];
      life.began = e.at;
      lives_.push_back(std::move(life));
      return;
    }
    case Kind::answered: {
      const auto it = asking_.find(e.subject);
      if (it == asking_.end()) return;  // malformed, or no message
      Life& life = lives_[it->second];
      life.admission = bounded<AdmissionOutcome>(e.n[0], kAdmissionOutcomeCount);
      life.waited_us = e.n[1];
      if (e.n[1] > kSlowToReadUs) ++s.accepted_late;
      if (life.admission == AdmissionOutcome::accepted) {
        ++s.taken;
        life.stream = e.n[2];
        streams_[life.stream] = it->second;
      } else if (life.admission != AdmissionOutcome::duplicate) {
        ++s.refused;
      }
      asking_.erase(it);
      return;
    }
    case Kind::restored: {
      streams_.erase(e.subject);
      Life& life = by_stream(e);
      life.name = e.name_text();
      life.message_class = e.code;
      life.tenant = e.n[0];
      life.destination = e.n[1];
      life.left_ms = e.n[2];
      life.restored = true;
      return;
    }
    case Kind::call:
      by_stream(e).calls.push_back(
          {.host = std::string(e.name_text()), .from = e.at, .to = {}, .strays = {}});
      return;
    case Kind::call_ended: {
      Life& life = by_stream(e);
      if (life.calls.empty()) return;
      CallSeen& call = life.calls.back();
      call.to = e.at;
      call.outcome = bounded<Outcome>(e.code, kOutcomeCount);
      call.told_wait_ms = e.n[1];
      return;
    }
    case Kind::given_up: {
      Life& life = by_stream(e);
      life.given_up = e.at;
      life.verdict = static_cast<Verdict>(e.code);
      life.why = bounded<GiveUpReason>(e.n[0], 6);
      ++s.given_up;
      return;
    }
    case Kind::ended: {
      Life& life = by_stream(e);
      life.ended = e.at;
      life.end = bounded<End>(e.code, kEnds);
      if (life.end == End::delivered) ++(fate(life) == Fate::in_time ? s.in_time : s.late);
      return;
    }
    case Kind::carried:
      return take_carried(e);
    case Kind::stray:
      return take_stray(e);
    case Kind::host_connection:
      ++connection_ends_[bounded<ConnectionEnd>(e.code, kConnectionEnds)];
      return;
    case Kind::load:
    case Kind::host:
      return;
  }
}

void Account::take_carried(const Entry& e) {
  Life& life = by_stream(e);
  if (life.calls.empty()) return;
  CallSeen& call = life.calls.back();
  call.nth = e.code;
  call.connection = e.n[0];
  call.asks_close = e.n[1] != 0;
}

void Account::take_stray(const Entry& e) {
  ++strays_[std::string(e.name_text())];
  if (e.subject == 0) return;
  Life& life = by_stream(e);
  if (life.calls.empty()) return;
  life.calls.back().strays.push_back({e.at, e.code, bounded<StrayPlace>(e.n[1], kStrayPlaces)});
}

std::vector<const Life*> Account::find(const std::string& name) const {
  const auto kept = short_name(name);
  const std::string wanted(kept.data(), ::strnlen(kept.data(), kept.size()));
  std::vector<const Life*> found;
  for (const Life& life : lives_) {
    if (life.name == wanted) found.push_back(&life);
  }
  return found;
}

Fate Account::fate(const Life& life) const {
  if (life.given_up) {
    switch (life.why) {
      case GiveUpReason::none:
        return Fate::lost_class;
      case GiveUpReason::capacity:
        return Fate::made_room;
      case GiveUpReason::deadline:
        return Fate::no_time;
      case GiveUpReason::attempts:
        return Fate::no_attempt;
      case GiveUpReason::uncertain:
        return Fate::doubtful;
      case GiveUpReason::answered_late:
        return Fate::answered_late;
    }
  }
  if (life.ended) {
    if (life.end == End::withdrawn) return Fate::withdrawn;
    if (life.message_class >= legend_.classes.size()) return Fate::in_time;
    // What is not left any more of the most that its class has is the message's age.
    const ClassLegend& c = legend_.classes[life.message_class];
    const Time left = std::chrono::milliseconds(life.left_ms);
    const Time age = std::max(Time(0), c.deadline - left) + Time(*life.ended - life.began);
    return age > c.aim ? Fate::late : Fate::in_time;
  }
  if (life.stream != 0) return Fate::held;
  if (!life.admission) return Fate::answered;
  return *life.admission == AdmissionOutcome::duplicate ? Fate::answered : Fate::refused_admission;
}

std::map<Outcome, std::size_t> Account::outcomes(std::uint32_t destination, Moment from, Moment to) const {
  std::map<Outcome, std::size_t> found;
  for (const Life& life : lives_) {
    if (life.destination != destination) continue;
    for (const CallSeen& call : life.calls) {
      if (call.to && *call.to >= from && *call.to <= to) ++found[call.outcome];
    }
  }
  return found;
}

}  // namespace fennellane::record

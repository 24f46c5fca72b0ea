#include "account.hpp"

#include <algorithm>
#include <csignal>
#include <cstring>

namespace fennellane::record {

using starlinghook::GiveUpReason;
using starlinghook::Outcome;

namespace {

constexpr Timestamp kSecond = 1'000'000;
constexpr std::size_t kGiveUpReasonCount = 6;  // enumerators of starlinghook::GiveUpReason

// An enumerator read from a file, which may hold any value.
template <class E>
E bounded(std::uint64_t value, std::size_t count) {
  return static_cast<E>(std::min<std::uint64_t>(value, count - 1));
}

void add_event(Second& second, const char* text) {
  second.events += (second.events.empty() ? "" : ", ") + std::string(text);
}

void add_heartbeat(Second& second, const Entry& e) {
  second.loop_delay_ms = std::max<std::uint32_t>(second.loop_delay_ms, e.code);
  second.held = std::max(second.held, e.n[0]);
  second.calls = std::max(second.calls, e.n[1]);
  second.clients = std::max(second.clients, e.n[2]);
}

// What entries of submitted and of restored messages have in common.
void set_submission(MessageHistory& message, const Entry& e) {
  message.id = e.name_text();
  message.message_class = e.code;
  message.tenant = e.n[0];
  message.destination = e.n[1];
  message.time_left_ms = e.n[2];
}

}  // namespace

const char* result_text(MessageResult result) {
  switch (result) {
    case MessageResult::delivered_in_time:
      return "delivered in time";
    case MessageResult::delivered_late:
      return "delivered late";
    case MessageResult::withdrawn:
      return "over elsewhere";
    case MessageResult::refused_admission:
      return "refused at the door";
    case MessageResult::given_up_capacity:
      return "given up to make room";
    case MessageResult::given_up_deadline:
      return "given up, as no call would end in time";
    case MessageResult::given_up_attempts:
      return "given up after its last attempt";
    case MessageResult::given_up_uncertain:
      return "given up, as it may have run and must not be repeated";
    case MessageResult::answered_late:
      return "answered when its time was up";
    case MessageResult::class_removed:
      return "given up, as its class is no longer configured";
    case MessageResult::no_message:
      return "no message";
    case MessageResult::held:
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
  for (const Entry& e : contents.entries) add(e);
}

Second& Account::second(Timestamp at) {
  const Timestamp begin = at / kSecond * kSecond;
  // Entries are in order; one is older than its predecessor only if the clock was set back.
  if (seconds_.empty() || begin > seconds_.back().at) seconds_.push_back({.at = begin, .events = {}});
  return seconds_.back();
}

MessageHistory& Account::history_of(const Entry& e) {
  const auto [it, added] = streams_.emplace(e.subject, messages_.size());
  if (added) {
    messages_.emplace_back();
    messages_.back().stream = e.subject;
    messages_.back().started = e.at;
  }
  return messages_[it->second];
}

void Account::add(const Entry& e) {
  Second& s = second(e.at);
  switch (e.kind) {
    case Kind::none:
    case Kind::load:
    case Kind::host:
      return;
    case Kind::began:
      return add_event(s, "a process begins");
    case Kind::ready:
      return add_event(s, "ready");
    case Kind::signalled:
      return add_event(s, e.code == SIGHUP ? "reloads" : "is to stop");
    case Kind::storage:
      return add_event(s, e.code == 0 ? "storage writes again" : "storage fails");
    case Kind::beat:
      return add_heartbeat(s, e);
    case Kind::no_place:
      ++s.no_place;
      return;
    case Kind::client:
      ++close_reasons_[bounded<CloseReason>(e.code, kCloseReasonCount)];
      pending_requests_.erase(e.subject);
      return;
    case Kind::asked:
      ++s.submitted;
      return add_request(e);
    case Kind::answered:
      return add_answer(s, e);
    case Kind::restored:
      return add_restored(e);
    case Kind::call:
      history_of(e).calls.push_back(
          {.host = std::string(e.name_text()), .started = e.at, .ended = {}, .strays = {}});
      return;
    case Kind::call_ended:
      return add_call_end(e);
    case Kind::given_up:
      ++s.given_up;
      return add_give_up(e);
    case Kind::ended:
      return add_end(s, e);
    case Kind::carried:
      return add_call_connection(e);
    case Kind::stray:
      return add_stray(e);
    case Kind::host_connection:
      ++connection_ends_[bounded<ConnectionEnd>(e.code, kConnectionEnds)];
      return;
  }
}

void Account::add_request(const Entry& e) {
  pending_requests_[e.subject] = messages_.size();
  MessageHistory& message = messages_.emplace_back();
  message.started = e.at;
  set_submission(message, e);
}

void Account::add_answer(Second& s, const Entry& e) {
  const auto it = pending_requests_.find(e.subject);
  if (it == pending_requests_.end()) return;  // malformed, or no message
  MessageHistory& message = messages_[it->second];
  message.admission = bounded<AdmissionOutcome>(e.n[0], kAdmissionOutcomeCount);
  message.read_delay_us = e.n[1];
  if (e.n[1] > kLateReadUs) ++s.read_late;
  if (message.admission == AdmissionOutcome::accepted) {
    ++s.accepted;
    message.stream = e.n[2];
    streams_[message.stream] = it->second;
  } else if (message.admission != AdmissionOutcome::duplicate) {
    ++s.refused;
  }
  pending_requests_.erase(it);
}

void Account::add_restored(const Entry& e) {
  streams_.erase(e.subject);
  MessageHistory& message = history_of(e);
  set_submission(message, e);
  message.restored = true;
}

void Account::add_call_end(const Entry& e) {
  MessageHistory& message = history_of(e);
  if (message.calls.empty()) return;
  CallHistory& call = message.calls.back();
  call.ended = e.at;
  call.outcome = bounded<Outcome>(e.code, kOutcomeCount);
  call.retry_after_ms = e.n[1];
}

void Account::add_give_up(const Entry& e) {
  MessageHistory& message = history_of(e);
  message.given_up = e.at;
  message.verdict = static_cast<Verdict>(e.code);
  message.give_up_reason = bounded<GiveUpReason>(e.n[0], kGiveUpReasonCount);
}

void Account::add_end(Second& s, const Entry& e) {
  MessageHistory& message = history_of(e);
  message.ended = e.at;
  message.end = bounded<End>(e.code, kEnds);
  if (message.end == End::delivered)
    ++(result(message) == MessageResult::delivered_in_time ? s.in_time : s.late);
}

void Account::add_call_connection(const Entry& e) {
  MessageHistory& message = history_of(e);
  if (message.calls.empty()) return;
  CallHistory& call = message.calls.back();
  call.connection_call_number = e.code;
  call.connection = e.n[0];
  call.close_requested = e.n[1] != 0;
}

void Account::add_stray(const Entry& e) {
  ++strays_[std::string(e.name_text())];
  if (e.subject == 0) return;
  MessageHistory& message = history_of(e);
  if (message.calls.empty()) return;
  message.calls.back().strays.push_back({e.at, e.code, bounded<StrayPlace>(e.n[1], kStrayPlaces)});
}

std::vector<const MessageHistory*> Account::find(const std::string& id) const {
  const auto kept = short_name(id);
  const std::string wanted(kept.data(), ::strnlen(kept.data(), kept.size()));
  std::vector<const MessageHistory*> found;
  for (const MessageHistory& message : messages_) {
    if (message.id == wanted) found.push_back(&message);
  }
  return found;
}

MessageResult Account::result(const MessageHistory& message) const {
  if (message.given_up) {
    switch (message.give_up_reason) {
      case GiveUpReason::none:
        return MessageResult::class_removed;
      case GiveUpReason::capacity:
        return MessageResult::given_up_capacity;
      case GiveUpReason::deadline:
        return MessageResult::given_up_deadline;
      case GiveUpReason::attempts:
        return MessageResult::given_up_attempts;
      case GiveUpReason::uncertain:
        return MessageResult::given_up_uncertain;
      case GiveUpReason::answered_late:
        return MessageResult::answered_late;
    }
  }
  if (message.ended) {
    if (message.end == End::withdrawn) return MessageResult::withdrawn;
    if (message.message_class >= legend_.classes.size()) return MessageResult::delivered_in_time;
    // The message's age is the part of its class's deadline that has been used up.
    const ClassLegend& c = legend_.classes[message.message_class];
    const Time left = std::chrono::milliseconds(message.time_left_ms);
    const Time age = std::max(Time(0), c.deadline - left) + Time(*message.ended - message.started);
    return age > c.aim ? MessageResult::delivered_late : MessageResult::delivered_in_time;
  }
  if (message.stream != 0) return MessageResult::held;
  if (!message.admission) return MessageResult::no_message;
  return *message.admission == AdmissionOutcome::duplicate ? MessageResult::no_message
                                                           : MessageResult::refused_admission;
}

std::map<Outcome, std::size_t> Account::outcomes(std::uint32_t destination, Timestamp from,
                                                 Timestamp to) const {
  std::map<Outcome, std::size_t> found;
  for (const MessageHistory& message : messages_) {
    if (message.destination != destination) continue;
    for (const CallHistory& call : message.calls) {
      if (call.ended && *call.ended >= from && *call.ended <= to) ++found[call.outcome];
    }
  }
  return found;
}

}  // namespace fennellane::record

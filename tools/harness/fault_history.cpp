#include "fault_history.hpp"

#include <algorithm>

namespace fennellane::harness {
namespace {

constexpr std::chrono::milliseconds kOverdue{300};  // behind a message's time, by the protocol

// When a message that has an end had its first one.
TimePoint end_time(const History& history, const Message& message) {
  TimePoint end = TimePoint::max();
  const auto arrival = history.arrivals.find(key_of(message));
  if (arrival != history.arrivals.end() && arrival->second.delivered) end = arrival->second.delivered_at;
  const auto notice = history.notices.find(message.id);
  if (notice != history.notices.end()) end = std::min(end, notice->second);
  return end;
}

// What reached partners and was never sent so, or was refused.
void check_arrivals(const History& history, FaultReport& report) {
  for (const auto& [key, arrival] : history.arrivals) {
    const std::string& id = key.first;
    const auto sent = history.messages.find(key);
    if (sent == history.messages.end()) {
      report.violations.push_back(id + ": reached a partner as no client had sent it");
      continue;
    }
    const Message& m = sent->second;
    if (m.seen == Seen::refused) report.violations.push_back(id + ": was refused and reached a partner");
    if (m.message_class == "pay" && arrival.ran > 1) {
      report.violations.push_back(id + ": ran " + std::to_string(arrival.ran) + " times");
    }
  }
}

void check_message(const History& history, const Message& m, FaultReport& report) {
  ++report.handed_in;
  ++(m.seen == Seen::taken ? report.taken : m.seen == Seen::refused ? report.refused : report.unanswered);
  if (m.seen == Seen::failed) report.violations.push_back(m.id + ": was answered as malformed");
  const bool has_end = history.has_end(m);
  const bool noticed = history.notices.count(m.id) > 0;
  report.noticed += noticed ? 1 : 0;
  report.delivered += has_end && !noticed ? 1 : 0;
  if (m.seen != Seen::taken || m.may_vanish) return;
  if (!has_end) {
    report.violations.push_back(m.id + ": has no end");
    return;
  }
  const auto late_by = end_time(history, m) - std::max(m.due + kOverdue, m.excused_until);
  if (late_by <= TimePoint::duration::zero()) return;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(late_by).count();
  report.late.push_back(m.id + ": ended " + std::to_string(ms) + " ms too late");
}

}  // namespace

void History::add(const Arrivals& of_one_partner) {
  for (const auto& [key, a] : of_one_partner) {
    Arrival& sum = arrivals[key];
    sum.ran += a.ran;
    if (!a.delivered) continue;
    sum.delivered_at = sum.delivered ? std::min(sum.delivered_at, a.delivered_at) : a.delivered_at;
    sum.delivered = true;
  }
}

bool History::has_end(const Message& message) const {
  const auto arrival = arrivals.find(key_of(message));
  return notices.count(message.id) > 0 || (arrival != arrivals.end() && arrival->second.delivered);
}

bool History::all_taken_have_ends() const {
  return std::all_of(messages.begin(), messages.end(), [this](const auto& entry) {
    const Message& m = entry.second;
    return m.seen != Seen::taken || m.may_vanish || has_end(m);
  });
}

void check(const History& history, FaultReport& report) {
  check_arrivals(history, report);
  for (const auto& [key, message] : history.messages) check_message(history, message, report);
}

void plant_flaws(History& history) {
  int planted = 0;
  Message unsent;
  for (auto& [key, m] : history.messages) {
    const auto it = history.arrivals.find(key);
    if (m.seen != Seen::taken || m.message_class != "pay" || it == history.arrivals.end() ||
        it->second.ran == 0 || history.notices.count(m.id) > 0) {
      continue;
    }
    if (planted == 0) ++it->second.ran;
    if (planted == 1) {
      auto arrival = history.arrivals.extract(it);
      arrival.key().second += "?";
      history.arrivals.insert(std::move(arrival));
    }
    if (planted == 2) m.seen = Seen::refused;
    if (planted == 3) {
      unsent = m;
      unsent.body += " of another client";
    }
    if (planted++ == 3) break;
  }
  history.messages[key_of(unsent)] = unsent;
  Message endless;
  endless.id = "without an end";
  endless.seen = Seen::taken;
  history.messages[key_of(endless)] = endless;
}

}  // namespace fennellane::harness

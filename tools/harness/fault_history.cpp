#include "fault_history.hpp"

#include <algorithm>

namespace fennellane::harness {
namespace {

constexpr std::chrono::milliseconds kOverdue{300};  // behind a message's time, by the protocol

// When a message that has an end had its first one.
TimePoint end_time(const History& history, const std::string& id) {
  TimePoint end = TimePoint::max();
  if (const auto a = history.arrivals.find(id); a != history.arrivals.end() && a->second.delivered) {
    end = a->second.delivered_at;
  }
  if (const auto n = history.notices.find(id); n != history.notices.end()) end = std::min(end, n->second);
  return end;
}

// What reached partners and was never sent so, or was refused.
void check_arrivals(const History& history, FaultReport& report) {
  for (const auto& [id, arrival] : history.arrivals) {
    const auto sent = history.messages.find(id);
    if (sent == history.messages.end() || sent->second.body != arrival.body || arrival.other_body) {
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
  const bool has_end = history.has_end(m.id);
  const bool noticed = history.notices.count(m.id) > 0;
  report.noticed += noticed ? 1 : 0;
  report.delivered += has_end && !noticed ? 1 : 0;
  if (m.seen != Seen::taken || m.may_vanish) return;
  if (!has_end) {
    report.violations.push_back(m.id + ": has no end");
    return;
  }
  const auto late_by = end_time(history, m.id) - std::max(m.due + kOverdue, m.excused_until);
  if (late_by <= TimePoint::duration::zero()) return;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(late_by).count();
  report.late.push_back(m.id + ": ended " + std::to_string(ms) + " ms too late");
}

}  // namespace

void History::add(const Arrivals& of_one_partner) {
  for (const auto& [id, a] : of_one_partner) {
    Arrival& sum = arrivals[id];
    sum.other_body = sum.other_body || a.other_body || (!sum.body.empty() && sum.body != a.body);
    sum.body = a.body;
    sum.ran += a.ran;
    if (!a.delivered) continue;
    sum.delivered_at = sum.delivered ? std::min(sum.delivered_at, a.delivered_at) : a.delivered_at;
    sum.delivered = true;
  }
}

bool History::has_end(const std::string& id) const {
  const auto arrival = arrivals.find(id);
  return notices.count(id) > 0 || (arrival != arrivals.end() && arrival->second.delivered);
}

bool History::all_taken_have_ends() const {
  return std::all_of(messages.begin(), messages.end(), [this](const auto& entry) {
    const Message& m = entry.second;
    return m.seen != Seen::taken || m.may_vanish || has_end(m.id);
  });
}

void check(const History& history, FaultReport& report) {
  check_arrivals(history, report);
  for (const auto& [id, message] : history.messages) check_message(history, message, report);
}

void plant_flaws(History& history) {
  int planted = 0;
  for (auto& [id, m] : history.messages) {
    const auto it = history.arrivals.find(id);
    if (m.seen != Seen::taken || m.message_class != "pay" || it == history.arrivals.end() ||
        it->second.ran == 0) {
      continue;
    }
    if (planted == 0) ++it->second.ran;
    if (planted == 1) it->second.body += "?";
    if (planted == 2) m.seen = Seen::refused;
    if (planted++ == 3) break;
  }
  Message endless;
  endless.id = "without an end";
  endless.seen = Seen::taken;
  history.messages[endless.id] = endless;
}

}  // namespace fennellane::harness

#include "report.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <map>
#include <tuple>
#include <vector>

namespace fennellane::record {

using starlinghook::Outcome;

namespace {

constexpr std::array<const char*, kOutcomeCount> kOutcomeTexts = {
    "error", "delivered", "turned away", "timed out", "could not connect", "reset", "cancelled", "not sent"};
constexpr std::array<const char*, kStrayPlaces> kStrayPlaceTexts = {
    "before the connection's first call", "while the connection rested", "while the call was out",
    "behind the answer"};
constexpr std::array<const char*, kConnectionEnds> kConnectionEndTexts = {"after their last call",
                                                                          "after a call that failed",
                                                                          "by the host",
                                                                          "for bytes that answer no call",
                                                                          "idle",
                                                                          "made way"};
constexpr std::array<const char*, kCloseReasonCount> kCloseReasonTexts = {
    "by the client", "idle", "half a request", "answer unread", "made way", "after its last answer"};

template <class... T>
std::string format(const char* form, T... values) {
  char text[256];
  std::snprintf(text, sizeof text, form, values...);
  return text;
}

std::string clock_text(Timestamp at) {
  const std::time_t whole = at / 1'000'000;
  std::tm parts{};
  ::gmtime_r(&whole, &parts);
  return format("%02d:%02d:%02d.%03d", parts.tm_hour, parts.tm_min, parts.tm_sec,
                static_cast<int>(at % 1'000'000 / 1000));
}

std::string class_name(const Account& account, std::uint16_t position) {
  const auto& classes = account.legend().classes;
  return position < classes.size() ? classes[position].name : "class " + std::to_string(position);
}
std::string tenant_name(const Account& account, std::uint32_t position) {
  const auto& tenants = account.legend().tenants;
  return position < tenants.size() ? tenants[position] : "tenant " + std::to_string(position);
}

// Numbers of messages by their result.
struct ResultCounts {
  std::size_t all = 0, in_time = 0, late = 0, refused = 0, given_up = 0, other = 0;
  void add(MessageResult result) {
    if (result == MessageResult::no_message) return;
    ++all;
    switch (result) {
      case MessageResult::delivered_in_time:
        ++in_time;
        break;
      case MessageResult::delivered_late:
        ++late;
        break;
      case MessageResult::refused_admission:
        ++refused;
        break;
      case MessageResult::held:
      case MessageResult::withdrawn:
        ++other;
        break;
      default:
        ++given_up;
    }
  }
};

template <class Key>
void print_rows(const char* title, const std::map<Key, ResultCounts>& rows, std::ostream& out) {
  constexpr std::size_t kMost = 20;
  std::vector<std::pair<Key, ResultCounts>> sorted(rows.begin(), rows.end());
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& a, const auto& b) { return a.second.all > b.second.all; });
  out << format("\n%-24s %8s %8s %8s %8s %8s %8s\n", title, "asked", "in time", "late", "at door", "given up",
                "other");
  for (std::size_t i = 0; i < std::min(kMost, sorted.size()); ++i) {
    const ResultCounts& r = sorted[i].second;
    out << format("%-24.24s %8zu %8zu %8zu %8zu %8zu %8zu\n", std::string(sorted[i].first).c_str(), r.all,
                  r.in_time, r.late, r.refused, r.given_up, r.other);
  }
  if (sorted.size() > kMost) out << "and " << sorted.size() - kMost << " more\n";
}

void print_causes(const Account& account, std::ostream& out) {
  std::map<std::string, std::pair<std::size_t, std::size_t>> causes;  // by text: all, read late
  for (const MessageHistory& message : account.messages()) {
    const MessageResult result = account.result(message);
    if (result == MessageResult::no_message) continue;
    std::string text = result_text(result);
    if (result == MessageResult::refused_admission)
      text += std::string(": ") + admission_text(*message.admission);
    auto& [count, read_late] = causes[text];
    ++count;
    if (message.read_delay_us && *message.read_delay_us > kLateReadUs) ++read_late;
  }
  out << format("%-64s %8s %12s\n", "how messages ended", "count", "read late");
  for (const auto& [text, counts] : causes) {
    out << format("%-64.64s %8zu %12zu\n", text.c_str(), counts.first, counts.second);
  }
  out << "(read late: over " << kLateReadUs / 1000 << " ms after the request's last byte had come)\n";
}

void print_seconds(const Account& account, std::size_t most, std::ostream& out) {
  const auto& seconds = account.seconds();
  const std::size_t first = seconds.size() > most ? seconds.size() - most : 0;
  out << format("\n%-9s %6s %6s %7s %6s %7s %5s %5s %5s %7s %6s %6s %6s\n", "second", "asked", "taken",
                "refused", "gave up", "in time", "late", "held", "calls", "clients", "slow", "noplace",
                "loopms");
  for (std::size_t i = first; i < seconds.size(); ++i) {
    const Second& s = seconds[i];
    out << format("%-9s %6u %6u %7u %7u %7u %5u %5u %5u %7u %6u %7u %6u",
                  clock_text(s.at).substr(0, 8).c_str(), s.submitted, s.accepted, s.refused, s.given_up,
                  s.in_time, s.late, s.held, s.calls, s.clients, s.read_late, s.no_place, s.loop_delay_ms);
    out << (s.events.empty() ? "" : "  " + s.events) << '\n';
  }
}

std::string outcome_counts(const std::map<Outcome, std::size_t>& counts) {
  std::string text;
  for (const auto& [outcome, count] : counts) {
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " " +
            kOutcomeTexts[static_cast<std::size_t>(outcome)];
  }
  return text.empty() ? "none" : text;
}

void print_request(const Account& account, const MessageHistory& message, std::ostream& out) {
  out << clock_text(message.started) << "  " << (message.restored ? "read back from the journal" : "asked")
      << ": " << class_name(account, message.message_class) << " of " << tenant_name(account, message.tenant)
      << " to destination " << message.destination << ", " << message.time_left_ms << " ms left";
  if (message.read_delay_us) out << ", read " << *message.read_delay_us / 1000 << " ms after its last byte";
  out << '\n';
  if (message.admission)
    out << clock_text(message.started) << "  at the door: " << admission_text(*message.admission) << '\n';
}

void print_call(const CallHistory& call, std::ostream& out) {
  out << clock_text(call.started) << "  call to " << call.host << ": ";
  if (!call.ended) {
    out << "no end in the record\n";
    return;
  }
  out << kOutcomeTexts[static_cast<std::size_t>(call.outcome)] << " after "
      << (*call.ended - call.started) / 1000 << " ms";
  if (call.retry_after_ms > 0) out << ", told to wait " << call.retry_after_ms << " ms";
  if (call.connection != 0) {
    out << ", call " << call.connection_call_number << " of connection " << call.connection
        << (call.close_requested ? ", asking for its close" : "");
  }
  out << '\n';
  for (const StrayBytes& stray : call.strays) {
    out << clock_text(stray.at) << "    passed over: "
        << (stray.status == 0 ? std::string("bytes") : "an answer " + std::to_string(stray.status))
        << " that belongs to no call, " << kStrayPlaceTexts[static_cast<std::size_t>(stray.place)] << '\n';
  }
}

void print_end(const Account& account, const MessageHistory& message, std::ostream& out) {
  const Timestamp end = message.given_up ? *message.given_up
                        : message.ended  ? *message.ended
                                         : account.seconds().back().at;
  if (message.given_up) {
    out << clock_text(*message.given_up) << "  given up as "
        << (message.verdict == Verdict::deferred ? "deferred" : "undeliverable") << '\n';
  }
  if (message.ended) {
    out << clock_text(*message.ended) << "  "
        << (message.end == End::noticed ? "the platform has taken its notice" : "ended") << '\n';
  }
  out << "calls to destination " << message.destination
      << " meanwhile: " << outcome_counts(account.outcomes(message.destination, message.started, end))
      << '\n';
  const MessageResult result = account.result(message);
  out << result_text(result);
  if (result == MessageResult::refused_admission) out << ": " << admission_text(*message.admission);
  out << '\n';
}

void print_history(const Account& account, const MessageHistory& message, std::ostream& out) {
  print_request(account, message, out);
  for (const CallHistory& call : message.calls) print_call(call, out);
  print_end(account, message, out);
}

}  // namespace

void print_summary(const Account& account, std::size_t most_seconds, std::ostream& out) {
  if (account.seconds().empty()) {
    out << "the record holds nothing yet\n";
    return;
  }
  out << account.legend().relay << ", from " << clock_text(account.seconds().front().at) << " to "
      << clock_text(account.seconds().back().at) << " UTC\n\n";
  print_causes(account, out);
  std::map<std::string, ResultCounts> classes, tenants, destinations;
  for (const MessageHistory& message : account.messages()) {
    const MessageResult result = account.result(message);
    if (result == MessageResult::no_message) continue;
    classes[class_name(account, message.message_class)].add(result);
    tenants[tenant_name(account, message.tenant)].add(result);
    destinations[std::to_string(message.destination)].add(result);
  }
  print_rows("class", classes, out);
  print_rows("tenant", tenants, out);
  print_rows("destination", destinations, out);
  out << "\nclients' connections that ended:";
  for (const auto& [how, count] : account.close_reasons()) {
    out << "  " << count << ' ' << kCloseReasonTexts[static_cast<std::size_t>(how)];
  }
  out << "\nconnections to hosts that ended:";
  for (const auto& [how, count] : account.connection_ends()) {
    out << "  " << count << ' ' << kConnectionEndTexts[static_cast<std::size_t>(how)];
  }
  out << "\nbytes that answered no call:";
  if (account.strays().empty()) out << " none";
  for (const auto& [host, count] : account.strays()) out << "  " << count << " times from " << host;
  out << '\n';
  print_seconds(account, most_seconds, out);
}

bool print_message(const Account& account, const std::string& id, std::size_t most, std::ostream& out) {
  const std::vector<const MessageHistory*> messages = account.find(id);
  const std::size_t first = messages.size() > most ? messages.size() - most : 0;
  if (first > 0) out << "the newest " << most << " of " << messages.size() << " under this id\n\n";
  for (std::size_t i = first; i < messages.size(); ++i) {
    if (i > first) out << '\n';
    print_history(account, *messages[i], out);
  }
  return !messages.empty();
}

void print_messages(const Account& account, MessageResult result, std::size_t most, std::ostream& out) {
  std::vector<const MessageHistory*> found;
  for (const MessageHistory& message : account.messages()) {
    if (account.result(message) == result && !message.id.empty()) found.push_back(&message);
  }
  for (std::size_t i = found.size() > most ? found.size() - most : 0; i < found.size(); ++i) {
    const MessageHistory& message = *found[i];
    out << clock_text(message.started) << "  " << message.id << "  "
        << class_name(account, message.message_class) << "  " << tenant_name(account, message.tenant)
        << "  destination " << message.destination << "  " << message.calls.size() << " calls\n";
  }
}

void print_raw(const Contents& contents, std::ostream& out) {
  constexpr std::array<const char*, kKinds> kTexts = {
      "none",   "began", "ready",    "signalled", "beat",  "load",           "no_place",
      "client", "asked", "answered", "restored",  "call",  "call_ended",     "given_up",
      "ended",  "host",  "storage",  "carried",   "stray", "host_connection"};
  for (const Entry& e : contents.entries) {
    out << e.sequence << ' ' << e.at << ' ' << kTexts[static_cast<std::size_t>(e.kind)]
        << " subject=" << e.subject << " code=" << e.code << " n=" << e.n[0] << ',' << e.n[1] << ','
        << e.n[2];
    if (!e.name_text().empty()) out << " name=" << e.name_text();
    out << '\n';
  }
}

}  // namespace fennellane::record

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

std::string clock_text(Moment at) {
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

// Columns: messages, delivered in time, late, refused at the door, given up, else.
struct Row {
  std::size_t all = 0, in_time = 0, late = 0, not_admitted = 0, given_up = 0, held = 0;
  void add(Fate fate) {
    if (fate == Fate::answered) return;
    ++all;
    switch (fate) {
      case Fate::in_time:
        ++in_time;
        break;
      case Fate::late:
        ++late;
        break;
      case Fate::refused_admission:
        ++not_admitted;
        break;
      case Fate::held:
      case Fate::withdrawn:
        ++held;
        break;
      default:
        ++given_up;
    }
  }
};

template <class Key>
void print_rows(const char* title, const std::map<Key, Row>& rows, std::ostream& out) {
  constexpr std::size_t kMost = 20;
  std::vector<std::pair<Key, Row>> sorted(rows.begin(), rows.end());
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& a, const auto& b) { return a.second.all > b.second.all; });
  out << format("\n%-24s %8s %8s %8s %8s %8s %8s\n", title, "asked", "in time", "late", "at door", "given up",
                "other");
  for (std::size_t i = 0; i < std::min(kMost, sorted.size()); ++i) {
    const Row& r = sorted[i].second;
    out << format("%-24.24s %8zu %8zu %8zu %8zu %8zu %8zu\n", std::string(sorted[i].first).c_str(), r.all,
                  r.in_time, r.late, r.not_admitted, r.given_up, r.held);
  }
  if (sorted.size() > kMost) out << "and " << sorted.size() - kMost << " more\n";
}

void print_causes(const Account& account, std::ostream& out) {
  std::map<std::string, std::pair<std::size_t, std::size_t>> causes;  // text to count, waited long
  for (const Life& life : account.lives()) {
    const Fate fate = account.fate(life);
    if (fate == Fate::answered) continue;
    std::string text = fate_text(fate);
    if (fate == Fate::refused_admission) text += std::string(": ") + admission_text(*life.admission);
    auto& [count, slow] = causes[text];
    ++count;
    if (life.waited_us && *life.waited_us > kSlowToReadUs) ++slow;
  }
  out << format("%-64s %8s %12s\n", "how messages ended", "count", "read late");
  for (const auto& [text, counts] : causes) {
    out << format("%-64.64s %8zu %12zu\n", text.c_str(), counts.first, counts.second);
  }
  out << "(read late: over " << kSlowToReadUs / 1000 << " ms after the request's last byte had come)\n";
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
                  clock_text(s.at).substr(0, 8).c_str(), s.asked, s.taken, s.refused, s.given_up, s.in_time,
                  s.late, s.held, s.calls, s.clients, s.accepted_late, s.no_place, s.late_loop_ms);
    out << (s.marks.empty() ? "" : "  " + s.marks) << '\n';
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

void print_request(const Account& account, const Life& life, std::ostream& out) {
  out << clock_text(life.began) << "  " << (life.restored ? "read back from the journal" : "asked") << ": "
      << class_name(account, life.message_class) << " of " << tenant_name(account, life.tenant)
      << " to destination " << life.destination << ", " << life.left_ms << " ms left";
  if (life.waited_us) out << ", read " << *life.waited_us / 1000 << " ms after its last byte";
  out << '\n';
  if (life.admission)
    out << clock_text(life.began) << "  at the door: " << admission_text(*life.admission) << '\n';
}

void print_call(const CallSeen& call, std::ostream& out) {
  out << clock_text(call.from) << "  call to " << call.host << ": ";
  if (!call.to) {
    out << "no end in the record\n";
    return;
  }
  out << kOutcomeTexts[static_cast<std::size_t>(call.outcome)] << " after " << (*call.to - call.from) / 1000
      << " ms";
  if (call.told_wait_ms > 0) out << ", told to wait " << call.told_wait_ms << " ms";
  if (call.connection != 0) {
    out << ", call " << call.nth << " of connection " << call.connection
        << (call.asks_close ? ", asking for its close" : "");
  }
  out << '\n';
  for (const StraySeen& stray : call.strays) {
    out << clock_text(stray.at) << "    passed over: "
        << (stray.status == 0 ? std::string("bytes") : "an answer " + std::to_string(stray.status))
        << " that belongs to no call, " << kStrayPlaceTexts[static_cast<std::size_t>(stray.place)] << '\n';
  }
}

void print_end(const Account& account, const Life& life, std::ostream& out) {
  const Moment end = life.given_up ? *life.given_up : life.ended ? *life.ended : account.seconds().back().at;
  if (life.given_up) {
    out << clock_text(*life.given_up) << "  given up as "
        << (life.verdict == Verdict::deferred ? "deferred" : "undeliverable") << '\n';
  }
  if (life.ended) {
    out << clock_text(*life.ended) << "  "
        << (life.end == End::noticed ? "the platform has taken its notice" : "ended") << '\n';
  }
  out << "calls to destination " << life.destination
      << " meanwhile: " << outcome_counts(account.outcomes(life.destination, life.began, end)) << '\n';
  const Fate fate = account.fate(life);
  out << fate_text(fate);
  if (fate == Fate::refused_admission) out << ": " << admission_text(*life.admission);
  out << '\n';
}

void print_life(const Account& account, const Life& life, std::ostream& out) {
  print_request(account, life, out);
  for (const CallSeen& call : life.calls) print_call(call, out);
  print_end(account, life, out);
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
  std::map<std::string, Row> classes, tenants, destinations;
  for (const Life& life : account.lives()) {
    const Fate fate = account.fate(life);
    if (fate == Fate::answered) continue;
    classes[class_name(account, life.message_class)].add(fate);
    tenants[tenant_name(account, life.tenant)].add(fate);
    destinations[std::to_string(life.destination)].add(fate);
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

bool print_message(const Account& account, const std::string& name, std::size_t most, std::ostream& out) {
  const std::vector<const Life*> lives = account.find(name);
  const std::size_t first = lives.size() > most ? lives.size() - most : 0;
  if (first > 0) out << "the newest " << most << " of " << lives.size() << " under this id\n\n";
  for (std::size_t i = first; i < lives.size(); ++i) {
    if (i > first) out << '\n';
    print_life(account, *lives[i], out);
  }
  return !lives.empty();
}

void print_lives(const Account& account, Fate fate, std::size_t most, std::ostream& out) {
  std::vector<const Life*> found;
  for (const Life& life : account.lives()) {
    if (account.fate(life) == fate && !life.name.empty()) found.push_back(&life);
  }
  for (std::size_t i = found.size() > most ? found.size() - most : 0; i < found.size(); ++i) {
    const Life& l = *found[i];
    out << clock_text(l.began) << "  " << l.name << "  " << class_name(account, l.message_class) << "  "
        << tenant_name(account, l.tenant) << "  destination " << l.destination << "  " << l.calls.size()
        << " calls\n";
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

#include "fleet.hpp"

#include <cstdio>
#include <set>
#include <unordered_map>

#include "admission_outcome.hpp"
#include "starlinghook/delivery.hpp"

namespace fennellane::record {
namespace {

using starlinghook::GiveUpReason;
using starlinghook::Outcome;
constexpr std::int64_t kSecond = 1'000'000;

bool failure(Outcome o) {
  return o == Outcome::error || o == Outcome::timeout || o == Outcome::reset || o == Outcome::connect_failed;
}

void count_end(FleetCount& c, Outcome outcome, bool fresh) {
  if (outcome == Outcome::delivered) ++c.delivered;
  if (outcome == Outcome::full) ++c.refused;
  if (failure(outcome)) ++c.failed;
  if (!fresh) return;
  ++c.connects;
  if (outcome == Outcome::full) ++c.no_place;
  if (outcome == Outcome::connect_failed) ++c.unconnected;
}
void count_given_up(FleetCount& c, std::uint32_t why) {
  if (why == static_cast<std::uint32_t>(GiveUpReason::capacity)) ++c.room;
  if (why == static_cast<std::uint32_t>(GiveUpReason::deadline)) ++c.time;
  if (why == static_cast<std::uint32_t>(GiveUpReason::attempts)) ++c.attempts;
  if (why == static_cast<std::uint32_t>(GiveUpReason::uncertain)) ++c.doubt;
}

void print_header(std::ostream& out) {
  char line[160];
  std::snprintf(line, sizeof line, "%-8s %5s %6s %6s %6s %6s %6s %6s %6s %6s %6s %6s %6s %5s %6s %6s %6s\n",
                "second", "began", "taken", "again", "calls", "first", "deliv", "refus", "noplac", "failed",
                "new", "noconn", "rested", "lists", "room", "time", "doubt");
  out << line;
}
void print_count(std::int64_t second, const FleetCount& c, std::ostream& out) {
  char line[200];
  std::snprintf(line, sizeof line,
                "%-8lld %5zu %6zu %6zu %6zu %6zu %6zu %6zu %6zu %6zu %6zu %6zu %6zu %5zu %6zu %6zu %6zu\n",
                static_cast<long long>(second), c.began, c.taken, c.restored, c.calls, c.first_calls,
                c.delivered, c.refused, c.no_place, c.failed, c.connects, c.unconnected, c.rested,
                c.list_lines, c.room, c.time + c.attempts, c.doubt);
  out << line;
}

}  // namespace

void FleetAccount::add(const Contents& contents) {
  ++relays_;
  std::unordered_map<std::uint64_t, std::uint32_t> asking;   // destination by connection
  std::unordered_map<std::uint64_t, std::uint32_t> streams;  // and by stream
  std::set<std::uint32_t> failing;                           // destinations, as this relay has seen them
  for (const Entry& e : contents.entries) {
    const std::int64_t at = e.at / kSecond;
    FleetCount& all = seconds_[at];
    const auto both = [&](std::uint32_t destination, const auto& count) {
      count(all);
      count(by_destination_[{destination, at}]);
    };
    // Guards against a call whose message began before the record does: it counts for the fleet alone.
    const auto known = streams.find(e.subject);
    const auto of_stream = [&](const auto& count) {
      known == streams.end() ? count(all) : both(known->second, count);
    };
    switch (e.kind) {
      case Kind::began:
        ++all.began;
        asking.clear();
        failing.clear();
        break;
      case Kind::asked:
        asking[e.subject] = e.n[1];
        break;
      case Kind::answered: {
        const auto asked = asking.find(e.subject);
        if (asked == asking.end()) break;
        if (e.n[0] == static_cast<std::uint32_t>(AdmissionOutcome::accepted)) {
          streams[e.n[2]] = asked->second;
          both(asked->second, [](FleetCount& c) { ++c.taken; });
        }
        asking.erase(asked);
        break;
      }
      case Kind::restored:
        streams[e.subject] = e.n[1];
        both(e.n[1], [](FleetCount& c) { ++c.restored; });
        break;
      case Kind::call: {
        const bool rested = known != streams.end() && failing.count(known->second) > 0;
        of_stream([&](FleetCount& c) {
          ++c.calls;
          if (e.code == 0) ++c.first_calls;
          if (rested) ++c.rested;
        });
        break;
      }
      case Kind::call_ended: {
        const auto outcome = static_cast<Outcome>(e.code);
        of_stream([&](FleetCount& c) { count_end(c, outcome, e.n[2] == 0); });
        if (known == streams.end()) break;
        if (outcome == Outcome::delivered) failing.erase(known->second);
        if (failure(outcome)) failing.insert(known->second);
        break;
      }
      case Kind::given_up:
        of_stream([&](FleetCount& c) { count_given_up(c, e.n[0]); });
        break;
      case Kind::host:
        if (e.n[2] == 0) ++all.list_lines;  // not one that was kept
        break;
      default:
        break;
    }
  }
}

void print_fleet(const FleetAccount& account, const std::vector<std::uint32_t>& destinations,
                 std::ostream& out) {
  out << account.relays() << " relays\n";
  if (account.seconds().empty()) return;
  const std::int64_t first = account.seconds().begin()->first;
  print_header(out);
  for (const auto& [second, count] : account.seconds()) print_count(second - first, count, out);
  for (const std::uint32_t destination : destinations) {
    out << "\ndestination " << destination << '\n';
    print_header(out);
    for (auto it = account.by_destination().lower_bound({destination, 0});
         it != account.by_destination().end() && it->first.first == destination; ++it) {
      print_count(it->first.second - first, it->second, out);
    }
  }
}

}  // namespace fennellane::record

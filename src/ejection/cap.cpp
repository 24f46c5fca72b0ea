#include "cap.hpp"

#include <algorithm>
#include <map>

namespace fennellane::ejection {
namespace {

// Guards against two endpoints that fail alike taking turns at the last place.
constexpr double kHardlyWorse = 0.1;

std::size_t room(std::size_t percent, std::size_t of) { return std::max<std::size_t>(1, percent * of / 100); }

template <class T>
bool has(const std::vector<T>& all, const T& one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

}  // namespace

const char* name_of(DegradationKind state) {
  constexpr const char* kNames[] = {"failing", "cold", "lowered"};
  return kNames[static_cast<std::size_t>(state)];
}

Verdict weigh(const Cap& cap, const std::vector<Listed>& listed, const std::vector<Report>& reports,
              const std::vector<std::string>& before) {
  struct Voices {
    std::size_t failing = 0, any = 0;
    double bad = 0;
  };
  std::map<std::string, Voices> heard;
  for (const Report& report : reports) {
    for (const DegradedEndpoint& a : report.degraded_endpoints) {
      Voices& v = heard[a.host];
      ++v.any;
      if (a.kind != DegradationKind::failing) continue;
      ++v.failing;
      v.bad += a.failure_share;
    }
  }
  const std::size_t enough = std::max<std::size_t>({1, std::min<std::size_t>(cap.voices, reports.size()),
                                                    (reports.size() * cap.voices_percent + 99) / 100});

  Verdict verdict;
  verdict.relays = static_cast<std::uint32_t>(reports.size());
  verdict.listed = static_cast<std::uint32_t>(listed.size());
  struct Room {
    std::size_t size = 0, out = 0;
  };
  std::map<std::uint32_t, Room> destinations;
  std::size_t out = 0;
  struct Candidate {
    const Listed* host;
    double bad;
  };
  std::vector<Candidate> failing;
  for (const Listed& host : listed) {
    Room& destination = destinations[host.destination];
    ++destination.size;
    const auto v = heard.find(host.host);
    const bool fails = host.ready && v != heard.end() && v->second.failing >= enough;
    const bool reduced = host.ready && !fails && v != heard.end() && v->second.any >= enough;
    if (fails) {
      const double rested = has(before, host.host) ? kHardlyWorse : 0;
      failing.push_back({&host, v->second.bad / static_cast<double>(v->second.failing) + rested});
    }
    verdict.failing += fails ? 1 : 0;
    verdict.reduced += reduced ? 1 : 0;
    verdict.drained += host.ready ? 0 : 1;
    if (reduced || !host.ready) ++destination.out, ++out;
  }
  const std::size_t most = room(cap.all_percent, listed.size());
  const auto most_of = [&cap](const Room& d) { return room(cap.percent, d.size); };
  std::stable_sort(failing.begin(), failing.end(), [](const Candidate& a, const Candidate& b) {
    return a.bad != b.bad ? a.bad > b.bad : a.host->host < b.host->host;
  });
  for (const Candidate& c : failing) {
    Room& destination = destinations[c.host->destination];
    if (out >= most || destination.out >= most_of(destination)) continue;
    ++destination.out, ++out;
    verdict.out.push_back(c.host->host);
  }
  std::sort(verdict.out.begin(), verdict.out.end());
  verdict.all = !listed.empty() && out >= most;
  for (const auto& [id, destination] : destinations)
    if (destination.out >= most_of(destination)) verdict.closed.push_back(id);
  return verdict;
}

std::vector<std::string> exempt_endpoints(const Verdict& verdict, const std::vector<Listed>& listed) {
  std::vector<std::string> all;
  for (const Listed& host : listed) {
    const bool closed =
        verdict.all || std::binary_search(verdict.closed.begin(), verdict.closed.end(), host.destination);
    if (closed && !std::binary_search(verdict.out.begin(), verdict.out.end(), host.host))
      all.push_back(host.host);
  }
  return all;
}

}  // namespace fennellane::ejection
